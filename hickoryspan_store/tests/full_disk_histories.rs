//! Random histories of a log whose disk is full for a while: it refuses writes at any step, or any step at all, with or
//! without a loss of power in between.
//!
//! Fail points belong to the whole process, so no other test may run beside this one.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod support;

use std::sync::{Arc, Mutex};

use fail::FailScenario;
use hickoryspan_core::control::interface::{
    DurableLog, HardState, LogIndex, PersistBatch, PersistError,
};
use hickoryspan_core::types::{ReplicaId, TermNumber};
use hickoryspan_store::{DISK_FAIL_POINT, FAIL_POINTS, FileLog};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use support::disk_model::*;
use support::*;

/// Number of batches of one history, without those that are tried again.
const HISTORY_BATCHES: u64 = 40;
/// Environment variable with the number of histories of one run.
const HISTORIES_VARIABLE: &str = "HICKORYSPAN_FULL_DISK_HISTORIES";
const DEFAULT_HISTORIES: u64 = 60;

/// What the disk refuses with "no space".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Room {
    #[default]
    Enough,
    /// New files and bytes, from some write on. What a write may still add differs.
    Full,
    /// Any step now and then, such as syncs, cuts, renames and removals.
    Refusing,
}

/// A disk that refuses steps, and what it holds.
#[derive(Default)]
struct FullDisk {
    model: DiskModel,
    room: Room,
    refused: u64,
    generator: Option<ChaCha12Rng>,
}

impl FullDisk {
    /// Decides whether the next step is refused, and records it.
    fn begin(&mut self, step: &'static str) {
        if self.model.generator.is_none() {
            return;
        }
        self.model.advance(Some(step));
        let generator = self.generator.as_mut().unwrap();
        let takes_space = step.ends_with("_write") || step.ends_with("_create");
        let is_refused = match self.room {
            Room::Enough => false,
            Room::Full => takes_space && generator.random_bool(0.9),
            Room::Refusing => generator.random_bool(0.3),
        };
        if !is_refused {
            return fail::cfg(DISK_FAIL_POINT, "off").unwrap();
        }
        let taken = [0, 0, 7, 40, 4_000][generator.random_range(0..5)];
        fail::cfg(DISK_FAIL_POINT, &format!("return(nospace {taken})")).unwrap();
        self.model.note_refused();
        self.refused += 1;
    }
}

/// One history.
struct History {
    disk: Arc<Mutex<FullDisk>>,
    generator: ChaCha12Rng,
    folder: tempfile::TempDir,
    log: Option<FileLog>,
    /// State after all acknowledged batches.
    model: Model,
    /// States that the disk may hold: the model, and steps of the batches that were refused since.
    allowed: Vec<Model>,
    name: String,
}

impl History {
    fn start(seed: u64, disk: &Arc<Mutex<FullDisk>>) -> Self {
        let generator = ChaCha12Rng::seed_from_u64(seed);
        let folder = tempfile::tempdir().unwrap();
        disk.lock().unwrap().model.generator = None;
        fail::cfg(DISK_FAIL_POINT, "off").unwrap();
        let log = create(folder.path());
        let model = Model::default();
        let mut history = Self {
            disk: Arc::clone(disk),
            generator,
            folder,
            log: Some(log),
            allowed: vec![model.clone()],
            model,
            name: format!("seed {seed}"),
        };
        history.follow();
        history
    }

    /// Takes all files as durable and refuses nothing.
    fn follow(&mut self) {
        let model = follow_folder(self.folder.path(), &mut self.generator);
        let generator = Some(ChaCha12Rng::seed_from_u64(self.generator.random()));
        let mut disk = self.disk.lock().unwrap();
        *disk = FullDisk { model, generator, room: Room::Enough, refused: disk.refused };
    }

    fn set_room(&self, room: Room) {
        self.disk.lock().unwrap().room = room;
    }

    /// Calls `work` without recording its steps, on another folder than that of the log.
    fn without_model<T>(&self, work: impl FnOnce() -> T) -> T {
        let generator = self.disk.lock().unwrap().model.generator.take();
        fail::cfg(DISK_FAIL_POINT, "off").unwrap();
        let result = work();
        self.disk.lock().unwrap().model.generator = generator;
        result
    }

    /// Persists a batch and checks what a loss of power at any of its steps leaves. Returns what the log reports, and
    /// one of these images.
    fn persist(&mut self, batch: &PersistBatch) -> (Result<(), PersistError>, Option<Image>) {
        let steps = self.allowed.iter().flat_map(|state| state.possible_states(batch));
        let mut states: Vec<Model> = self.allowed.clone();
        for state in steps {
            if !states.contains(&state) {
                states.push(state);
            }
        }
        let result = self.log.as_mut().unwrap().persist(batch);
        let images = self.check_images(&states);
        self.allowed = states;
        if result.is_ok() {
            self.model.apply(batch);
            self.allowed = vec![self.model.clone()];
        }
        (result, images.into_iter().next_back())
    }

    /// Checks what a loss of power at any of the last steps leaves, and returns these images.
    fn check_images(&self, states: &[Model]) -> Vec<Image> {
        let images = {
            let mut disk = self.disk.lock().unwrap();
            disk.model.advance(None);
            std::mem::take(&mut disk.model.images)
        };
        for image in &images {
            self.without_model(|| check_image(image, states, &self.name));
        }
        images
    }

    /// Ends the process and starts another one on the same files. It may have to wait until the disk has room.
    fn restart(&mut self) {
        self.log = None;
        let opened = match open(self.folder.path()) {
            Ok(opened) => opened,
            Err(error) => {
                // A start needs no space.
                let room = self.disk.lock().unwrap().room;
                assert_eq!(room, Room::Refusing, "{}: {error}", self.name);
                self.set_room(Room::Enough);
                open(self.folder.path()).unwrap_or_else(|error| panic!("{}: {error}", self.name))
            }
        };
        self.check_images(&self.allowed);
        let found = Model(opened.recovered);
        let allowed: Vec<String> = self.allowed.iter().map(Model::describe).collect();
        let (name, text) = (&self.name, found.describe());
        assert!(self.allowed.contains(&found), "{name}: {text} is not one of {allowed:#?}");
        self.log = Some(opened.log);
        self.allowed = vec![found.clone()];
        self.model = found;
    }

    /// Goes on with what a loss of power has left.
    fn lose_power(&mut self, image: &Image) {
        self.log = None;
        let folder = self.without_model(|| write_image(image));
        self.folder = folder;
        self.follow();
        self.restart();
    }

    /// Returns the batch that follows one that was refused: all that is not durable, and perhaps more.
    fn next_attempt(&mut self, refused: &PersistBatch) -> PersistBatch {
        let base = self.model.0.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0);
        let last = self.model.0.entries.last().map_or(base, |entry| entry.index.0);
        let mut batch = refused.clone();
        batch.truncate_from = refused.truncate_from.or(Some(LogIndex(last + 1)));
        if let Some(entry) = batch.entries.last().filter(|_| self.generator.random()) {
            let (index, term) = (entry.index.0, entry.term.0);
            batch.entries.extend(entries(index + 1, index + 2, term).entries);
        }
        let term = TermNumber(self.generator.random_range(50..60));
        let newer = HardState { term, voted_for: Some(ReplicaId(1)) };
        batch.hard_state = refused.hard_state.or(Some(newer));
        batch
    }

    fn play(&mut self) {
        for number in 0..HISTORY_BATCHES {
            let room = match self.generator.random_range(0..10) {
                0..3 => Room::Full,
                3 => Room::Refusing,
                _ => Room::Enough,
            };
            self.set_room(room);
            let mut batch = next_batch(&self.model, &mut self.generator, number + 1);
            for attempt in 0.. {
                self.name = format!("{}, batch {number}.{attempt}", self.seed_name());
                if attempt == 3 {
                    self.set_room(Room::Enough);
                }
                let (result, image) = self.persist(&batch);
                let Err(error) = result else { break };
                let is_broken = matches!(error, PersistError::Broken { .. });
                let was_full = room != Room::Enough && attempt < 3;
                assert!(was_full, "{}: {error}", self.name);
                assert!(!is_broken || room == Room::Refusing, "{}: {error}", self.name);
                if let Some(image) = image.filter(|_| self.generator.random_bool(0.2)) {
                    self.lose_power(&image);
                    break;
                }
                if is_broken {
                    let again = self.log.as_mut().unwrap().persist(&batch);
                    assert_eq!(again, Err(error), "{}: a broken log is used", self.name);
                }
                if is_broken || self.generator.random_bool(0.15) {
                    self.restart();
                    break;
                }
                batch = self.next_attempt(&batch);
            }
        }
        self.set_room(Room::Enough);
        self.restart();
    }

    fn seed_name(&self) -> String {
        self.name.split(',').next().unwrap_or_default().to_owned()
    }
}

/// Guards against a log that lacks acknowledged batches, does not open, or needs a restart, after its disk was full for a
/// while at any step, also if the power is lost then.
#[test]
fn random_histories_survive_a_full_disk() {
    let scenario = FailScenario::setup();
    let disk = Arc::new(Mutex::new(FullDisk::default()));
    for step in FAIL_POINTS.iter().copied() {
        let disk = Arc::clone(&disk);
        fail::cfg_callback(step, move || disk.lock().unwrap().begin(step)).unwrap();
    }
    let histories = std::env::var(HISTORIES_VARIABLE).ok().and_then(|text| text.parse().ok());
    let histories = histories.unwrap_or(DEFAULT_HISTORIES);
    for seed in 0..histories {
        History::start(seed, &disk).play();
    }
    let refused = disk.lock().unwrap().refused;
    assert!(refused > histories * 5, "only {refused} steps were refused");
    scenario.teardown();
}
