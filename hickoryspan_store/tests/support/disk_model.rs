//! A model of what a disk may hold after a loss of power, and random batches for histories on it.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use hickoryspan_core::control::interface::{HardState, LogIndex, PersistBatch};
use hickoryspan_core::types::{ReplicaId, TermNumber};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use super::*;

/// The files that a loss of power leaves, by name.
pub type Image = BTreeMap<String, Vec<u8>>;

/// What the disk certainly holds, and the changes that a loss of power may undo.
#[derive(Default)]
pub struct DiskModel {
    pub folder: PathBuf,
    // Names with the bytes that are durable.
    pub durable: BTreeMap<String, Vec<u8>>,
    // Changes of names since the last sync of the folder, in order.
    changes: Vec<NameChange>,
    // The files as last seen.
    pub seen: BTreeMap<String, Vec<u8>>,
    // The step that is being executed, unless it was refused.
    step: Option<&'static str>,
    // Bytes that were written and not synced, by name.
    unsynced: BTreeMap<String, Vec<u8>>,
    pub images: Vec<BTreeMap<String, Vec<u8>>>,
    pub generator: Option<ChaCha12Rng>,
}

pub enum NameChange {
    Removed(String),
    Renamed { from: String, to: String, bytes: Vec<u8> },
}

pub fn read_folder(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let names = list(path, "").into_iter().filter(|name| name != "LOCK");
    names.map(|name| (name.clone(), fs::read(path.join(&name)).unwrap())).collect()
}

impl DiskModel {
    /// Records what the last step has done, then notes the next one.
    pub fn advance(&mut self, next: Option<&'static str>) {
        let files = read_folder(&self.folder);
        let renamed = self.step.is_some_and(|step| step.ends_with("_rename"));
        let gone = self.seen.keys().filter(|name| !files.contains_key(*name)).cloned();
        for name in gone.collect::<Vec<_>>() {
            self.unsynced.remove(&name);
            match name.strip_suffix(".tmp").filter(|_| renamed) {
                Some(to) => {
                    let (to, bytes) = (to.to_owned(), files[to].clone());
                    self.changes.push(NameChange::Renamed { from: name, to, bytes });
                }
                None => self.changes.push(NameChange::Removed(name)),
            }
        }
        for (name, bytes) in &files {
            if !renamed && self.seen.get(name) != Some(bytes) {
                self.unsynced.insert(name.clone(), bytes.clone());
            }
        }
        match self.step {
            Some("folder_sync") => self.sync_folder(),
            Some(step) if step.ends_with("_sync") => self.sync_file(step),
            _ => {}
        }
        self.seen = files;
        self.step = next;
        self.draw_image();
    }

    /// Notes that the current step was refused, so that it synced and renamed nothing.
    pub fn note_refused(&mut self) {
        self.step = None;
    }

    fn sync_folder(&mut self) {
        for change in std::mem::take(&mut self.changes) {
            apply(&mut self.durable, change);
        }
    }

    /// A sync makes one file durable, with its name if it is new.
    fn sync_file(&mut self, step: &str) {
        let is_synced = |name: &str| match step {
            "segment_sync" | "segment_header_sync" | "segment_cut_sync" => name.starts_with("log-"),
            "snapshot_sync" => name.starts_with("snapshot-") && name.ends_with(".tmp"),
            "hardstate_sync" => name == "hardstate.tmp",
            _ => name.ends_with(".tmp"),
        };
        let name = self.unsynced.keys().rfind(|name| is_synced(name)).cloned();
        if let Some(name) = name {
            let bytes = self.unsynced.remove(&name).unwrap();
            self.durable.insert(name, bytes);
        }
    }

    /// Now and then, adds what a loss of power at this moment could leave.
    fn draw_image(&mut self) {
        let mut generator = self.generator.take().unwrap();
        if generator.random_bool(0.15) {
            let mut image = self.durable.clone();
            for (name, bytes) in &self.unsynced {
                let old = self.durable.get(name);
                match generator.random_range(0..4) {
                    0 => drop(image.insert(name.clone(), bytes.clone())),
                    1 => {
                        let kept = old.map_or(0, Vec::len).min(bytes.len());
                        let length = generator.random_range(kept..=bytes.len());
                        image.insert(name.clone(), bytes[..length].to_vec());
                    }
                    _ => {}
                }
            }
            for change in &self.changes {
                if generator.random() {
                    let change = match change {
                        NameChange::Removed(name) => NameChange::Removed(name.clone()),
                        NameChange::Renamed { from, to, bytes } => NameChange::Renamed {
                            from: from.clone(),
                            to: to.clone(),
                            bytes: bytes.clone(),
                        },
                    };
                    apply(&mut image, change);
                }
            }
            self.images.push(image);
        }
        self.generator = Some(generator);
    }
}

fn apply(files: &mut BTreeMap<String, Vec<u8>>, change: NameChange) {
    match change {
        NameChange::Removed(name) => drop(files.remove(&name)),
        NameChange::Renamed { from, to, bytes } => {
            files.remove(&from);
            files.insert(to, bytes);
        }
    }
}

/// Draws a batch that may follow the state.
pub fn next_batch(model: &Model, generator: &mut ChaCha12Rng, term: u64) -> PersistBatch {
    let state = &model.0;
    let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0);
    let last = state.entries.last().map_or(base, |entry| entry.index.0);
    let mut batch = PersistBatch::default();
    let mut first = last + 1;
    if generator.random_bool(0.25) && last > base {
        first = generator.random_range(base + 1..=last);
        batch.truncate_from = Some(LogIndex(first));
    }
    if generator.random_bool(0.35) {
        let (newest, is_installed) = match generator.random_bool(0.2) {
            // A snapshot of the leader, beyond the log.
            true => (last + generator.random_range(1..5), true),
            false => (generator.random_range(base..first), false),
        };
        if newest > base {
            batch.snapshot = Some(snapshot(newest, term));
            if is_installed {
                batch.truncate_from = Some(LogIndex(base + 1)).filter(|_| last > base);
                first = newest + 1;
            }
        }
    }
    if generator.random_bool(0.7) {
        batch.entries = entries(first, first + generator.random_range(0..4), term).entries;
    }
    if generator.random_bool(0.3) {
        let voted_for = Some(ReplicaId(term));
        batch.hard_state = Some(HardState { term: TermNumber(term), voted_for });
    }
    batch
}

pub fn write_image(image: &BTreeMap<String, Vec<u8>>) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    for (name, bytes) in image {
        fs::write(folder.path().join(name), bytes).unwrap();
    }
    folder
}

/// Checks that a folder with these files opens with one of the states.
pub fn check_image(image: &BTreeMap<String, Vec<u8>>, states: &[Model], history: &str) {
    let folder = write_image(image);
    let names: Vec<&String> = image.keys().collect();
    let opened = open(folder.path());
    let opened = opened.unwrap_or_else(|error| panic!("{history}: {error}; {names:?}"));
    let found = Model(opened.recovered);
    let expected: Vec<String> = states.iter().map(Model::describe).collect();
    let text = found.describe();
    assert!(states.contains(&found), "{history}: {names:?} hold {text}, not one of {expected:#?}");
}

/// Returns a model of a folder whose files are all durable.
pub fn follow_folder(path: &Path, generator: &mut ChaCha12Rng) -> DiskModel {
    let files = read_folder(path);
    DiskModel {
        folder: path.to_owned(),
        durable: files.clone(),
        seen: files,
        generator: Some(ChaCha12Rng::seed_from_u64(generator.random())),
        ..DiskModel::default()
    }
}
