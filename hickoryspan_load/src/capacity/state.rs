//! Measures the memory of the state in entries and control replicas, as counted by the allocator.

use hickoryspan_core::control::commands::{CommandBody, EntryProcess, LogCommand};
use hickoryspan_core::control::state::ReplicatedState;
use hickoryspan_core::entry::engine::{EngineSettings, FanoutEngine, OrdinalShare};
use hickoryspan_core::messages::{ClaimKey, EntryRegistration, OrderOutcome, RequestOutcome};
use hickoryspan_core::types::{
    ClockReading, IncarnationNumber, OrdinalNumber, RequestFingerprint, WallTime,
};
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use super::messages::{sample_target, sample_view};

/// Returns the number of bytes that are currently allocated.
pub type AllocatedBytes<'a> = &'a dyn Fn() -> usize;

/// Measures the memory, in bytes, of an entry's view and engine for the given numbers of targets and entries.
pub fn measure_entry_state(
    allocated: AllocatedBytes<'_>,
    targets: u32,
    entries: u32,
    max_ordinals: u32,
) -> anyhow::Result<usize> {
    let before = allocated();
    let view = sample_view(targets, entries)?;
    let generator = ChaCha12Rng::seed_from_u64(1);
    let mut engine = FanoutEngine::new(EngineSettings::default(), "domain-1".parse()?, generator);
    let mut actions = Vec::new();
    let share = OrdinalShare { ordinal: OrdinalNumber(1), max_ordinals };
    engine.set_share(ClockReading::default(), Some(share), &mut actions);
    engine.update_view(ClockReading::default(), &view, &mut actions);
    drop(actions);
    let after = allocated();
    // Both values must stay alive until here to be included in the measurement.
    drop((view, engine));
    Ok(after.saturating_sub(before))
}

fn command(body: CommandBody) -> LogCommand {
    LogCommand { at: WallTime(1_800_000_000_000), body }
}

/// Measures the memory, in bytes, of a control replica's state with the given number of targets.
pub fn measure_control_targets(
    allocated: AllocatedBytes<'_>,
    targets: u32,
) -> anyhow::Result<usize> {
    let before = allocated();
    let mut state = ReplicatedState::default();
    for number in 0..targets {
        state.apply(command(CommandBody::Announce(vec![sample_target(number)?])));
    }
    let after = allocated();
    drop(state);
    Ok(after.saturating_sub(before))
}

/// Measures the memory, in bytes, that the given number of settled claims adds to a control replica's state.
pub fn measure_claims(allocated: AllocatedBytes<'_>, claims: u32) -> anyhow::Result<usize> {
    let mut state = ReplicatedState::default();
    let registration = EntryRegistration {
        entry: "entry-1".parse()?,
        incarnation: IncarnationNumber(1),
        caller_address: "127.0.0.1:40000".parse()?,
        failure_domain: "domain-1".parse()?,
    };
    let process =
        EntryProcess { entry: registration.entry.clone(), incarnation: registration.incarnation };
    state.apply(command(CommandBody::RegisterEntry { registration, max_ordinals: 14 }));
    let before = allocated();
    for number in 0..claims {
        let key = ClaimKey {
            tenant: "quindio".parse()?,
            caller: "print-queue".parse()?,
            request: format!("order-{number:012}").parse()?,
            issued_at: WallTime(1_800_000_000_000),
        };
        let fingerprint = RequestFingerprint::of_parts([number.to_le_bytes().as_slice()]);
        let process = process.clone();
        state.apply(command(CommandBody::Claim {
            process: process.clone(),
            key: key.clone(),
            fingerprint,
            capacity: u64::MAX,
        }));
        let outcome = OrderOutcome {
            outcome: RequestOutcome::Complete,
            target: Some("quindio/print-shop-1/0".parse()?),
            body: Some("{\"request\":\"order\",\"target\":\"quindio/print-shop-1/0\"}".into()),
        };
        state.apply(command(CommandBody::Settle { process, key, outcome }));
    }
    let after = allocated();
    drop(state);
    Ok(after.saturating_sub(before))
}
