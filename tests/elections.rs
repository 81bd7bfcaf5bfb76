//! How soon a leader is elected after voters have started, on virtual time.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::consensus::{
    Entry, HardState, Log, Member, MemberId, Members, Message, Payload, Raft, Timing,
};
use samphireshift::name::{DataCentre, VmName};
use std::time::Duration;

/// As in deploy/settings.ini.
const TIMING: Timing = Timing {
    election_timeout: Duration::from_millis(600),
    heartbeat_interval: Duration::from_millis(150),
};
/// Within what all is served again after the final fault; an election is a part of it.
const SERVED_WITHIN_MS: u64 = 2_000;
const SEEDS: u64 = 1_000;
const GIVE_UP_MS: u64 = 10_000;

/// Three of five voters, all of them needed; the other two have lost their disks.
struct Survivors {
    rafts: Vec<Option<Raft>>,
    /// Messages with the time of their arrival.
    in_flight: Vec<(u64, Message)>,
    max_delay_ms: u64,
    rng: Pcg64Mcg,
}

impl Survivors {
    /// Starts each voter at its time, and returns when one of them leads.
    fn elect(seed: u64, starts_ms: [u64; 3], max_delay_ms: u64) -> u64 {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let rafts = (0..3).map(|_| None).collect();
        let mut voters = Self { rafts, in_flight: Vec::new(), max_delay_ms, rng };
        for now_ms in 0..GIVE_UP_MS {
            for (index, start_ms) in starts_ms.iter().enumerate() {
                if now_ms == *start_ms {
                    voters.rafts[index] = Some(raft(index as u64, seed, now_ms));
                }
            }
            voters.deliver(now_ms);
            voters.tick(now_ms);
            if voters.rafts.iter().flatten().any(Raft::is_leader) {
                return now_ms;
            }
        }
        GIVE_UP_MS
    }

    /// Messages to a voter that has not started are lost.
    fn deliver(&mut self, now_ms: u64) {
        let (due, later) = self.in_flight.drain(..).partition(|(at_ms, _)| *at_ms <= now_ms);
        self.in_flight = later;
        let due: Vec<(u64, Message)> = due;
        for (_, message) in due {
            let receiver = self.rafts.get_mut(message.to.0 as usize).and_then(Option::as_mut);
            if let Some(raft) = receiver {
                raft.step(Duration::from_millis(now_ms), message);
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        for raft in self.rafts.iter_mut().flatten() {
            raft.tick(Duration::from_millis(now_ms));
            let output = raft.take_output();
            if let Some(write) = output.write {
                raft.on_persisted(write);
            }
            for message in output.immediate.into_iter().chain(output.after_sync) {
                let delay_ms = self.rng.random_range(1..=self.max_delay_ms);
                self.in_flight.push((now_ms + delay_ms, message));
            }
        }
    }
}

fn raft(id: u64, seed: u64, now_ms: u64) -> Raft {
    let member = |id| Member {
        id: MemberId(id),
        vm: VmName::new(format!("core-{id}")),
        data_centre: DataCentre::new("dc"),
        address: ([127, 0, 0, 1], 1).into(),
        durable: true,
    };
    let members = Members { voters: (0..5).map(member).collect(), learners: Vec::new() };
    let entries = vec![Entry { index: 1, term: 1, payload: Payload::Members(members) }];
    let (hard_state, log) = (HardState { term: 1, vote: None }, Log::new(None, entries));
    let now = Duration::from_millis(now_ms);
    Raft::new(MemberId(id), TIMING, seed * 3 + id, now, hard_state, log)
}

/// From the last start to the election, of the slowest seed, in milliseconds.
fn slowest_ms(starts_ms: [u64; 3], max_delay_ms: u64) -> u64 {
    let last = starts_ms.into_iter().max().unwrap();
    let took = (0..SEEDS).map(|seed| Survivors::elect(seed, starts_ms, max_delay_ms) - last);
    took.max().unwrap()
}

/// Guards against a voter that asks for pre-votes too early, is refused by one that has just started, and waits for a
/// whole election time-out before it asks again.
#[test]
fn a_late_voter_is_asked_again_as_soon_as_it_may_vote() {
    let slowest_ms = slowest_ms([0, 0, 700], 5);
    assert!(slowest_ms <= SERVED_WITHIN_MS, "elected {slowest_ms} ms after the last start");
}

/// Guards against votes that are split, time and again, on slow processors: each message takes up to 100 ms.
#[test]
fn split_votes_don_t_cost_an_election_time_out_each() {
    let slowest_ms = slowest_ms([0, 0, 0], 100);
    assert!(slowest_ms <= SERVED_WITHIN_MS, "elected {slowest_ms} ms after the last start");
}
