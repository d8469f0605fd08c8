//! What a target still has to do, and how fast it works, as one entry sees it.
//!
//! Load: requests of unequal work on targets of unequal speed. Requests in flight count by the work that is left of them,
//! and the requests of other entries by the load that the target reports, which ages.

use std::time::Duration;

use super::cost_model::WorkEstimate;
use super::outcomes::ReportedLoad;
use crate::types::MonotonicTime;

/// Time that an overdue request is expected to take on, relative to the time that it has taken.
const OVERDUE_REST: f64 = 1.0;
/// Part of the work that is left on average of a request that runs on behalf of others.
const RUNNING_REST: f64 = 0.5;
/// Part of the wait for a full target that is expected of one with a free slot, because other entries may fill that slot
/// first.
const SHARING: f64 = 0.25;
/// Weight of a new report in the usual number of requests of others.
const REPORT_WEIGHT: f64 = 0.1;
/// Largest factor by which a single answer can be slower or faster than expected.
const MAX_SPEED_FACTOR: f64 = 12.0;
/// Time after which an observation of the lasting speed of a target has lost half of its weight.
const LASTING_HALF_LIFE: Duration = Duration::from_secs(30);
/// Largest lasting difference of a target from the usual speed, as a factor. A larger one is a fault, which ends.
const MAX_LASTING_FACTOR: f64 = 2.0;
/// Weight of the assumption that a target has the usual speed, in answers.
const LASTING_PRIOR: f64 = 4.0;
/// The same for a momentary slowdown, such as noise of a neighbour or a fault.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Weight of the lasting speed in the present one, in answers.
const RECENT_PRIOR: f64 = 2.0;

/// The load by other entries that is assumed of a target whose last report is old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssumedLoad {
    /// What its reports usually say.
    Usual,
    /// None, if an error in this direction costs less.
    None,
}

/// Identifies one request in flight on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkTicket(pub u64);

#[derive(Clone, Copy, Debug)]
struct SentWork {
    ticket: WorkTicket,
    sent_at: MonotonicTime,
    // Expected work and expected time until it starts, in milliseconds.
    work: f64,
    wait: f64,
    // How far it was known what the target had to do, from 0 to 1.
    knowledge: f64,
}

impl SentWork {
    /// Returns the time since the expected start, in milliseconds.
    fn elapsed(&self, now: MonotonicTime) -> f64 {
        (millis(now.since(self.sent_at)) - self.wait).max(0.0)
    }

    /// Returns the work that is left in milliseconds. A request that has lasted longer than expected is likely to last
    /// longer still.
    fn left(&self, now: MonotonicTime, speed_factor: f64) -> f64 {
        let done = self.elapsed(now) / speed_factor;
        if done <= self.work { self.work - done } else { done * OVERDUE_REST }
    }
}

/// What was expected of a target when a request was sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedStart {
    /// Time until the request starts.
    pub wait: Duration,
    /// How far it was known what the target has to do, from 0 to 1.
    pub knowledge: f64,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedWork {
    /// Time that the request took, without the expected wait.
    pub served: Duration,
    /// Work that was expected of it.
    pub expected: Duration,
    /// When it was sent.
    pub sent_at: MonotonicTime,
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn to_time(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}

/// A mean of logarithmic speed factors whose weight decays.
#[derive(Clone, Copy, Debug)]
struct SpeedAverage {
    half_life: Duration,
    weight: f64,
    sum: f64,
    at: MonotonicTime,
}

impl SpeedAverage {
    fn new(now: MonotonicTime, half_life: Duration) -> Self {
        Self { half_life, weight: 0.0, sum: 0.0, at: now }
    }

    fn decay(&self, now: MonotonicTime) -> f64 {
        0.5_f64.powf(now.since(self.at).as_secs_f64() / self.half_life.as_secs_f64())
    }

    fn record(&mut self, now: MonotonicTime, value: f64) {
        let decay = self.decay(now);
        self.weight = self.weight * decay + 1.0;
        self.sum = self.sum * decay + value;
        self.at = now;
    }

    fn mean(&self, now: MonotonicTime, prior: f64, prior_weight: f64) -> f64 {
        let decay = self.decay(now);
        (self.sum * decay + prior * prior_weight) / (self.weight * decay + prior_weight)
    }
}

/// The work that is left on one target and its speed.
#[derive(Clone, Debug)]
pub struct TargetWork {
    sent: Vec<SentWork>,
    // Mean work of the requests that this entry sends to the target, in milliseconds.
    usual_work: f64,
    // Requests of other entries at the last report, when that was, and how many there are usually.
    others: f64,
    others_at: MonotonicTime,
    usual_others: f64,
    lasting: SpeedAverage,
    recent: SpeedAverage,
}

impl TargetWork {
    /// Creates the state of a target of which nothing is known.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            sent: Vec::new(),
            usual_work: 0.0,
            others: 0.0,
            others_at: now,
            usual_others: 0.0,
            lasting: SpeedAverage::new(now, LASTING_HALF_LIFE),
            recent: SpeedAverage::new(now, RECENT_HALF_LIFE),
        }
    }

    /// Returns the time that work takes on this target now, relative to a target at usual speed.
    pub fn speed_factor(&self, now: MonotonicTime) -> f64 {
        let lasting = self.lasting.mean(now, 0.0, LASTING_PRIOR);
        self.recent.mean(now, lasting, RECENT_PRIOR).exp()
    }

    /// Returns how far it is known what the target has to do, from 0 to 1: how much of the last report it has not worked
    /// off yet.
    pub fn knowledge(&self, now: MonotonicTime, slots: u32) -> f64 {
        let batches = (self.others / f64::from(slots.max(1))).max(1.0);
        let time_to_work_off = self.usual_work * self.speed_factor(now) * batches;
        (-millis(now.since(self.others_at)) / time_to_work_off.max(1.0)).exp()
    }

    /// Returns the number of requests of other entries that are on the target now. What was reported gives way to what is
    /// assumed while the target works it off.
    fn others_now(&self, now: MonotonicTime, slots: u32, assumed: AssumedLoad) -> f64 {
        let assumed = match assumed {
            AssumedLoad::Usual => self.usual_others,
            AssumedLoad::None => 0.0,
        };
        let kept = self.knowledge(now, slots);
        assumed + (self.others - assumed) * kept
    }

    /// Returns the expected time until a request that is sent now starts.
    pub fn expected_wait(&self, now: MonotonicTime, slots: u32, assumed: AssumedLoad) -> Duration {
        let speed_factor = self.speed_factor(now);
        let own: f64 = self.sent.iter().map(|sent| sent.left(now, speed_factor)).sum();
        let others = self.others_now(now, slots, assumed);
        let slots = f64::from(slots.max(1));
        let waiting = (others - slots).max(0.0);
        let left = own + ((others - waiting) * RUNNING_REST + waiting) * self.usual_work;
        let ahead = self.sent.len() as f64 + others;
        let full = (ahead + 1.0 - slots).clamp(0.0, 1.0);
        let wait = left / slots * (SHARING + (1.0 - SHARING) * full) * speed_factor;
        to_time(wait)
    }

    /// Records that a request was sent.
    pub fn note_sent(
        &mut self,
        now: MonotonicTime,
        ticket: WorkTicket,
        estimate: &WorkEstimate,
        placed: ExpectedStart,
    ) {
        let work = millis(estimate.mean);
        let step = if self.usual_work == 0.0 { 1.0 } else { REPORT_WEIGHT };
        self.usual_work += (work - self.usual_work) * step;
        let ExpectedStart { wait, knowledge } = placed;
        let wait = millis(wait);
        self.sent.push(SentWork { ticket, sent_at: now, work, wait, knowledge });
    }

    /// Records that a request has ended or was not sent. Returns `None` if the request is not known.
    pub fn note_ended(&mut self, now: MonotonicTime, ticket: WorkTicket) -> Option<EndedWork> {
        let index = self.sent.iter().position(|sent| sent.ticket == ticket)?;
        let sent = self.sent.swap_remove(index);
        // A wait that did not occur must not make the work look like none.
        let total = millis(now.since(sent.sent_at));
        let served = sent.elapsed(now).max(total.min(sent.work));
        Some(EndedWork {
            served: to_time(served),
            expected: to_time(sent.work),
            sent_at: sent.sent_at,
        })
    }

    /// Returns how much longer a request in flight is expected to take; `None` if it is not known. `knowledge`, from 0 to
    /// 1, tells how much the caller knows of the target that it compares this one with.
    pub fn expected_rest(
        &self,
        now: MonotonicTime,
        ticket: WorkTicket,
        knowledge: f64,
    ) -> Option<Duration> {
        let sent = self.sent.iter().find(|sent| sent.ticket == ticket)?;
        let speed_factor = self.speed_factor(now);
        let elapsed = millis(now.since(sent.sent_at));
        let waiting = (sent.wait - elapsed).max(0.0);
        let informed = waiting + sent.left(now, speed_factor) * speed_factor;
        let expected = sent.wait + sent.work * speed_factor;
        // Without knowledge of the wait, the elapsed time is the best measure of the rest.
        let uninformed = (expected - elapsed).max(elapsed * OVERDUE_REST);
        let weight = knowledge * sent.knowledge;
        Some(to_time(informed * weight + uninformed * (1.0 - weight)))
    }

    /// Records the load that the target reported with a response. The requests of this entry, among them the one that is
    /// answered, are part of it.
    pub fn note_load(&mut self, now: MonotonicTime, load: ReportedLoad) {
        let reported = f64::from(load.running.saturating_add(load.waiting));
        self.others = (reported - self.sent.len() as f64).max(0.0);
        self.others_at = now;
        self.usual_others += (self.others - self.usual_others) * REPORT_WEIGHT;
    }

    /// Records how long expected work took. Work that is known to take longer on a cold target is given as `expected`.
    pub fn note_speed(&mut self, now: MonotonicTime, served: Duration, expected: Duration) {
        let factor = millis(served).max(0.01) / millis(expected).max(0.01);
        let value = factor.clamp(1.0 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR).ln();
        let lasting = MAX_LASTING_FACTOR.ln();
        self.lasting.record(now, value.clamp(-lasting, lasting));
        self.recent.record(now, value);
    }
}
