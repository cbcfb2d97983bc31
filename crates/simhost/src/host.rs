//! Instances of the decision module, their commands in hand and their timers. Nothing is decided here.

use crate::wire::{entry_chunks, report_at, u16_at, u32_at, u64_at, Batch, Reply};
use slab::Slab;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use yarrowfront::command::{Command, Outcome};
use yarrowfront::decide::{Action, BackendState, Balancer, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, BackendTypeId, CommandHandle, CommandId, GroupId, ProfileId, ZoneId};
use yarrowfront::settings::Settings;
use yarrowfront::times::{Micros, Timestamp};

type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// The timer that is the node's own and no command's.
const UPKEEP: u64 = u64::MAX;

struct InHand {
    command: Command,
    /// The moment of its last timer.
    armed: Option<Timestamp>,
}

struct Instance {
    number: u32,
    node: Balancer,
    profiles: usize,
    hands: Slab<InHand>,
    by_id: Map<u32, usize>,
    armed: Option<Timestamp>,
}

#[derive(Default)]
pub struct Host {
    instances: Map<u32, Instance>,
}

fn micros(nanos: u64) -> Micros {
    Micros(nanos / 1000)
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        100 => Outcome::Finished,
        301 => Outcome::Errored,
        302 => Outcome::Full,
        303 => Outcome::TimedOut,
        304 => Outcome::ConnectFailed,
        305 => Outcome::ConnectionLost,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => return Err(format!("code: unknown outcome {code}")),
    })
}

fn listed(entry: &[u8]) -> Result<ListEntry, String> {
    Ok(ListEntry {
        name_hash: u64::from(u32_at(entry, 0)),
        weight: f64::from(f32::from_bits(u32_at(entry, 10))),
        backend: BackendId(u32_at(entry, 0)),
        zone: ZoneId(u16_at(entry, 4)),
        backend_type: BackendTypeId(entry[6]),
        group: GroupId(u16_at(entry, 7)),
        state: match entry[9] {
            0 => BackendState::Gone,
            1 => BackendState::Ready,
            2 => BackendState::Draining,
            other => return Err(format!("members.status: unknown state {other}")),
        },
        started_at: Timestamp(u64_at(entry, 14) / 1000),
    })
}

impl Host {
    pub fn batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), String> {
        let now = Timestamp(batch.nanos() / 1000);
        let mut last = None;
        for event in batch.events() {
            let number = u32_at(event, 1);
            if last.is_some_and(|l| l != number) {
                self.upkeep(last, now, reply);
            }
            last = Some(number);
            match event[0] {
                10 => self.start(number, now, event, batch, reply)?,
                100 => drop(self.instances.remove(&number)),
                _ => match self.instances.get_mut(&number) {
                    Some(instance) => instance.event(now, event, batch, reply)?,
                    None if matches!(event[0], 20 | 30 | 40 | 50 | 60 | 70 | 80 | 90) => {}
                    None => return Err(format!("code: unknown event {}", event[0])),
                },
            }
        }
        self.upkeep(last, now, reply);
        Ok(())
    }

    fn upkeep(&mut self, number: Option<u32>, now: Timestamp, reply: &mut Reply) {
        if let Some(instance) = number.and_then(|n| self.instances.get_mut(&n)) {
            instance.upkeep(now, reply);
        }
    }

    fn start(
        &mut self,
        number: u32,
        now: Timestamp,
        event: &[u8],
        batch: &Batch,
        reply: &mut Reply,
    ) -> Result<(), String> {
        match Settings::from_json(batch.bytes(event, 13, "params")?) {
            Ok(terms) => {
                let profiles = terms.profiles.len();
                let node = Balancer::new(terms, u64_at(event, 5), now);
                let (hands, by_id) = (Slab::new(), Map::default());
                self.instances.insert(number, Instance { number, node, profiles, hands, by_id, armed: None });
            }
            Err(text) => reply.text(100, number, &text),
        }
        Ok(())
    }
}

impl Instance {
    fn event(
        &mut self,
        now: Timestamp,
        event: &[u8],
        batch: &Batch,
        reply: &mut Reply,
    ) -> Result<(), String> {
        match event[0] {
            20 => {
                let kind = match event[5] {
                    0 => ListUpdateKind::Delta,
                    1 => ListUpdateKind::Snapshot,
                    2 => ListUpdateKind::Cached,
                    3 => ListUpdateKind::Failed,
                    other => return Err(format!("how: unknown kind of list {other}")),
                };
                let entries = batch.entries(event, 10, "members")?;
                for entry in entry_chunks(entries) {
                    listed(entry)?;
                }
                self.node.apply_list(now, kind, entry_chunks(entries).filter_map(|e| listed(e).ok()));
            }
            30 => self.command(now, event, reply)?,
            // No profile here streams its answer: its start changes nothing.
            40 => {}
            50 => {
                let (values, count) = report_at(event, 25)?;
                let backend = BackendId(u32_at(event, 10));
                let outcome = outcome(u16_at(event, 14))?;
                if let Some(&key) = self.by_id.get(&u32_at(event, 5)) {
                    let command = &mut self.hands[key].command;
                    command.is_closed |= event[24] != 0;
                    let say = self.node.on_launch_outcome(
                        now,
                        CommandHandle(key as u32),
                        command,
                        event[9],
                        outcome,
                    );
                    self.say(now, key, say, reply);
                }
                self.node.on_load_report(now, backend, true, None, &values[..count]);
            }
            60 => {
                if let Some(&key) = self.by_id.get(&u32_at(event, 5)) {
                    self.node.on_client_gone(&mut self.hands[key].command);
                    self.settle(now, key, reply);
                }
            }
            70 => {
                let token = u64_at(event, 5);
                let key = (token >> 32) as usize;
                if token == UPKEEP {
                    self.armed = None;
                } else if self.hands.get(key).is_some_and(|h| h.command.id.0 == token as u32) {
                    self.again(now, key, reply);
                }
            }
            80 => {
                let (values, count) = report_at(event, 19)?;
                let found = u16_at(event, 5) == 100;
                let trip = micros(u64_at(event, 11));
                let backend = BackendId(u32_at(event, 7));
                self.node.on_load_report(now, backend, found, Some(trip), &values[..count]);
            }
            90 => {}
            other => return Err(format!("code: unknown event {other}")),
        }
        Ok(())
    }

    fn command(&mut self, now: Timestamp, event: &[u8], reply: &mut Reply) -> Result<(), String> {
        let profile = u16_at(event, 9);
        if usize::from(profile) >= self.profiles {
            return Err(format!("band: there is no profile {profile}"));
        }
        let id = CommandId(u32_at(event, 5));
        let mut command = Command::new(id, ProfileId(profile), now, micros(u64_at(event, 23)));
        let attrs = u16_at(event, 39);
        command.work_hint = (attrs & 1 != 0).then(|| micros(u64_at(event, 31)));
        command.is_client_retry = attrs & 2 != 0;
        command.affinity_key = u64_at(event, 15);
        let key = self.hands.insert(InHand { command, armed: None });
        self.by_id.insert(id.0, key);
        self.again(now, key, reply);
        Ok(())
    }

    fn again(&mut self, now: Timestamp, key: usize, reply: &mut Reply) {
        let say = self.node.decide(now, CommandHandle(key as u32), &mut self.hands[key].command);
        self.say(now, key, say, reply);
    }

    fn say(&mut self, now: Timestamp, key: usize, say: Decision, reply: &mut Reply) {
        let id = self.hands[key].command.id.0.to_be_bytes();
        match say {
            Decision::Launch(backend) => reply.action(10, self.number, &[&id, &backend.0.to_be_bytes()]),
            Decision::Wait => {}
            Decision::Reject(span) => reply.action(20, self.number, &[&id, &(span.0 * 1000).to_be_bytes()]),
            Decision::Fail => reply.action(30, self.number, &[&id]),
            Decision::CancelLaunch(launch) => reply.action(40, self.number, &[&id, &[launch]]),
        }
        self.settle(now, key, reply);
    }

    /// Lets go of a command that is over, or sets its next timer.
    fn settle(&mut self, now: Timestamp, key: usize, reply: &mut Reply) {
        let hand = &mut self.hands[key];
        if hand.command.is_closed && hand.command.in_flight_count() == 0 {
            self.by_id.remove(&hand.command.id.0);
            self.hands.remove(key);
            return;
        }
        if let Some(span) = self.node.wakeup_delay(now, Some(&hand.command)) {
            if hand.armed != Some(now + span) {
                hand.armed = Some(now + span);
                let token = (key as u64) << 32 | u64::from(hand.command.id.0);
                timer(self.number, span, token, reply);
            }
        }
    }

    fn upkeep(&mut self, now: Timestamp, reply: &mut Reply) {
        while let Some(errand) = self.node.next_action(now) {
            match errand {
                Action::Probe(backend) => reply.action(60, self.number, &[&backend.0.to_be_bytes()]),
                Action::CloseIdleConnections(backend) => {
                    reply.action(70, self.number, &[&backend.0.to_be_bytes()])
                }
                Action::RequestList => reply.action(110, self.number, &[&[1]]),
                Action::Reevaluate(hand) => {
                    if self.hands.contains(hand.0 as usize) {
                        self.again(now, hand.0 as usize, reply);
                    }
                }
            }
        }
        if let Some(span) = self.node.wakeup_delay(now, None) {
            if self.armed.is_none_or(|at| now + span < at) {
                self.armed = Some(now + span);
                timer(self.number, span, UPKEEP, reply);
            }
        }
    }
}

fn timer(instance: u32, span: Micros, token: u64, reply: &mut Reply) {
    let nanos = (span.0 * 1000).max(1);
    reply.action(50, instance, &[&nanos.to_be_bytes(), &token.to_be_bytes()]);
}
