//! The configuration document: its content, how it changes and reaches entries, and its routes.

pub mod accounts;
pub mod document;
pub mod document_change;
pub mod document_parts;
pub mod routes;
pub mod shard_list;
