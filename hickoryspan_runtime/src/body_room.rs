//! The room that the body of a response takes while it is read, and as long as it is kept.

use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use crate::caller_budget::AnswerRoom;
use crate::http_client::{BodyRoom, SendError};
use crate::response_budget::ResponseRoom;

/// The room of one body.
pub(crate) enum TakenRoom<'a> {
    Unbounded,
    Charged {
        room: Option<AnswerRoom<'a>>,
        /// Bytes that were taken.
        bytes: usize,
    },
    Budgeted(ResponseRoom),
}

impl<'a> TakenRoom<'a> {
    pub(crate) fn new(room: BodyRoom<'a>) -> Self {
        match room {
            BodyRoom::Unbounded => Self::Unbounded,
            BodyRoom::Charged(charge) => {
                Self::Charged { room: Some(AnswerRoom::new(charge)), bytes: 0 }
            }
            BodyRoom::Budgeted(budget) => Self::Budgeted(budget.begin()),
        }
    }

    /// Returns a token that is cancelled when others need the room; `None` if that does not happen.
    pub(crate) fn given_up(&self) -> Option<CancellationToken> {
        match self {
            Self::Unbounded | Self::Charged { .. } => None,
            Self::Budgeted(room) => Some(room.given_up()),
        }
    }

    /// Takes room for a body of this size.
    pub(crate) async fn grow_to(&mut self, size: usize) -> Result<(), SendError> {
        match self {
            Self::Unbounded => Ok(()),
            Self::Charged { room: Some(room), bytes } if size > *bytes => {
                room.grow(size - *bytes).await.map_err(|_| SendError::NoRoom)?;
                *bytes = size;
                room.await_room().await;
                Ok(())
            }
            Self::Charged { .. } => Ok(()),
            Self::Budgeted(room) => room.grow_to(size).map_err(|_| SendError::NoRoom),
        }
    }

    /// Notes that the body is complete, and that this many bytes of it are kept.
    pub(crate) fn keep(&mut self, kept: usize) {
        match self {
            Self::Unbounded => {}
            Self::Charged { room, .. } => {
                if let Some(room) = room.take() {
                    room.keep(kept);
                }
            }
            Self::Budgeted(room) => room.complete(),
        }
    }

    /// Returns the body, which takes the room as long as any part of it is kept.
    pub(crate) fn attach_to(self, body: Bytes) -> Bytes {
        match self {
            Self::Unbounded | Self::Charged { .. } => body,
            Self::Budgeted(room) => Bytes::from_owner(RoomedBody { body, _room: room }),
        }
    }
}

/// A body with its room.
struct RoomedBody {
    body: Bytes,
    _room: ResponseRoom,
}

impl AsRef<[u8]> for RoomedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
