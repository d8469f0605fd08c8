//! Random histories with losses of power: names that were created, renamed or removed since the last sync of their folder
//! are kept or lost independently, and bytes that were written since the last sync of their file are kept, lost or torn.
//!
//! Fail points belong to the whole process, so no other test may run beside this one.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod support;

use std::path::Path;
use std::sync::{Arc, Mutex};

use fail::FailScenario;
use hickoryspan_core::control::interface::DurableLog;
use hickoryspan_store::{DataFolder, FAIL_POINTS};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use support::disk_model::*;
use support::*;

/// Number of batches of one history.
const HISTORY_BATCHES: usize = 14;
/// Environment variable with the number of histories of one run.
const HISTORIES_VARIABLE: &str = "HICKORYSPAN_POWER_HISTORIES";
const DEFAULT_HISTORIES: u64 = 60;

/// Plays one history: batches, and losses of power at any step, after some of which the history goes on.
fn play_history(seed: u64, disk: &Arc<Mutex<DiskModel>>) {
    let mut generator = ChaCha12Rng::seed_from_u64(seed);
    let mut current = tempfile::tempdir().unwrap();
    drop(DataFolder::create(current.path(), IDENTITY).unwrap());
    let mut model = Model::default();
    for number in 0..HISTORY_BATCHES {
        let start = |path: &Path, generator: &mut ChaCha12Rng| {
            *disk.lock().unwrap() = follow_folder(path, generator);
        };
        if number % 5 == 0 {
            start(current.path(), &mut generator);
        }
        let mut log = open(current.path()).unwrap().log;
        let mut image = None;
        for step in 0..generator.random_range(1..6) {
            let batch = next_batch(&model, &mut generator, number as u64 + 1);
            let states = model.possible_states(&batch);
            log.persist(&batch).unwrap();
            let images = {
                let mut disk = disk.lock().unwrap();
                disk.advance(None);
                std::mem::take(&mut disk.images)
            };
            model.apply(&batch);
            let mut acknowledged = states.clone();
            // The last image may show the moment after the acknowledgement.
            acknowledged.push(model.clone());
            let history = format!("seed {seed}, batch {number}.{step}");
            // The steps on a copy must not count as steps on the disk.
            let recording = disk.lock().unwrap().generator.take();
            for image in &images {
                check_image(image, &acknowledged, &history);
            }
            disk.lock().unwrap().generator = recording;
            image = images.into_iter().next_back();
            if image.is_some() && generator.random_bool(0.3) {
                break;
            }
            image = None;
        }
        drop(log);
        if let Some(image) = image.filter(|_| number + 1 < HISTORY_BATCHES) {
            // The history goes on after the loss of power.
            current = write_image(&image);
            start(current.path(), &mut generator);
            let opened = open(current.path()).unwrap();
            model = Model(opened.recovered);
        }
    }
}

/// Guards against folders that do not open, or that lack acknowledged batches, after a loss of power at any moment.
#[test]
fn random_histories_survive_losses_of_power() {
    let scenario = FailScenario::setup();
    let disk = Arc::new(Mutex::new(DiskModel::default()));
    for step in FAIL_POINTS.iter().copied() {
        let disk = Arc::clone(&disk);
        let advance = move || {
            let mut disk = disk.lock().unwrap();
            // Before the first history there is no disk to follow.
            if disk.generator.is_some() {
                disk.advance(Some(step));
            }
        };
        fail::cfg_callback(step, advance).unwrap();
    }
    let histories = std::env::var(HISTORIES_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 0..histories.unwrap_or(DEFAULT_HISTORIES) {
        disk.lock().unwrap().generator = None;
        play_history(seed, &disk);
    }
    scenario.teardown();
}
