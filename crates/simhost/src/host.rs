//! Hosts instances of the decision module with their commands and timers. It takes no decisions itself.

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

/// Token of the timer that belongs to the node rather than to a command.
const NODE_TIMER: u64 = u64::MAX;

/// A command in progress.
struct CommandEntry {
    command: Command,
    /// When its last timer expires.
    armed_for: Option<Timestamp>,
}

/// One simulated node.
struct Instance {
    number: u32,
    balancer: Balancer,
    profile_count: usize,
    commands: Slab<CommandEntry>,
    /// Slot in `commands` by command id.
    slot_by_id: Map<u32, usize>,
    armed_for: Option<Timestamp>,
}

/// All simulated nodes by number.
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

fn list_entry(entry: &[u8]) -> Result<ListEntry, String> {
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
    /// Handles all events of a batch, with the actions of a node after its last event in a row.
    pub fn batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), String> {
        let now = Timestamp(batch.nanos() / 1000);
        let mut current = None;
        for event in batch.events() {
            let number = u32_at(event, 1);
            if current.is_some_and(|current_number| current_number != number) {
                self.run_actions(current, now, reply);
            }
            current = Some(number);
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
        self.run_actions(current, now, reply);
        Ok(())
    }

    fn run_actions(&mut self, number: Option<u32>, now: Timestamp, reply: &mut Reply) {
        if let Some(instance) = number.and_then(|n| self.instances.get_mut(&n)) {
            instance.run_actions(now, reply);
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
            Ok(settings) => {
                let profile_count = settings.profiles.len();
                let balancer = Balancer::new(settings, u64_at(event, 5), now);
                let (commands, slot_by_id) = (Slab::new(), Map::default());
                self.instances.insert(
                    number,
                    Instance { number, balancer, profile_count, commands, slot_by_id, armed_for: None },
                );
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
                let update = match event[5] {
                    0 => ListUpdateKind::Delta,
                    1 => ListUpdateKind::Snapshot,
                    2 => ListUpdateKind::Cached,
                    3 => ListUpdateKind::Failed,
                    other => return Err(format!("how: unknown kind of list {other}")),
                };
                let entries = batch.entries(event, 10, "members")?;
                for entry in entry_chunks(entries) {
                    list_entry(entry)?;
                }
                self.balancer.apply_list(
                    now,
                    update,
                    entry_chunks(entries).filter_map(|e| list_entry(e).ok()),
                );
            }
            30 => self.command(now, event, reply)?,
            // Answers are not streamed in any profile here, so the start of one changes nothing.
            40 => {}
            50 => {
                let (values, count) = report_at(event, 25)?;
                let backend = BackendId(u32_at(event, 10));
                let outcome = outcome(u16_at(event, 14))?;
                if let Some(&slot) = self.slot_by_id.get(&u32_at(event, 5)) {
                    let command = &mut self.commands[slot].command;
                    command.is_closed |= event[24] != 0;
                    let decision = self.balancer.on_launch_outcome(
                        now,
                        CommandHandle(slot as u32),
                        command,
                        event[9],
                        outcome,
                    );
                    self.carry_out(now, slot, decision, reply);
                }
                self.balancer.on_load_report(now, backend, true, None, &values[..count]);
            }
            60 => {
                if let Some(&slot) = self.slot_by_id.get(&u32_at(event, 5)) {
                    self.balancer.on_client_gone(&mut self.commands[slot].command);
                    self.finish_or_arm(now, slot, reply);
                }
            }
            70 => {
                let token = u64_at(event, 5);
                let slot = (token >> 32) as usize;
                if token == NODE_TIMER {
                    self.armed_for = None;
                } else if self.commands.get(slot).is_some_and(|h| h.command.id.0 == token as u32) {
                    self.decide_again(now, slot, reply);
                }
            }
            80 => {
                let (values, count) = report_at(event, 19)?;
                let was_found = u16_at(event, 5) == 100;
                let round_trip = micros(u64_at(event, 11));
                let backend = BackendId(u32_at(event, 7));
                self.balancer.on_load_report(now, backend, was_found, Some(round_trip), &values[..count]);
            }
            90 => {}
            other => return Err(format!("code: unknown event {other}")),
        }
        Ok(())
    }

    fn command(&mut self, now: Timestamp, event: &[u8], reply: &mut Reply) -> Result<(), String> {
        let profile = u16_at(event, 9);
        if usize::from(profile) >= self.profile_count {
            return Err(format!("band: there is no profile {profile}"));
        }
        let id = CommandId(u32_at(event, 5));
        let mut command = Command::new(id, ProfileId(profile), now, micros(u64_at(event, 23)));
        let flags = u16_at(event, 39);
        command.work_hint = (flags & 1 != 0).then(|| micros(u64_at(event, 31)));
        command.is_client_retry = flags & 2 != 0;
        command.affinity_key = u64_at(event, 15);
        let slot = self.commands.insert(CommandEntry { command, armed_for: None });
        self.slot_by_id.insert(id.0, slot);
        self.decide_again(now, slot, reply);
        Ok(())
    }

    fn decide_again(&mut self, now: Timestamp, slot: usize, reply: &mut Reply) {
        let decision =
            self.balancer.decide(now, CommandHandle(slot as u32), &mut self.commands[slot].command);
        self.carry_out(now, slot, decision, reply);
    }

    /// Writes a decision to the reply.
    fn carry_out(&mut self, now: Timestamp, slot: usize, decision: Decision, reply: &mut Reply) {
        let id = self.commands[slot].command.id.0.to_be_bytes();
        match decision {
            Decision::Launch(backend) => reply.action(10, self.number, &[&id, &backend.0.to_be_bytes()]),
            Decision::Wait => {}
            Decision::Reject(span) => reply.action(20, self.number, &[&id, &(span.0 * 1000).to_be_bytes()]),
            Decision::Fail => reply.action(30, self.number, &[&id]),
            Decision::CancelLaunch(launch) => reply.action(40, self.number, &[&id, &[launch]]),
        }
        self.finish_or_arm(now, slot, reply);
    }

    /// Removes a command that has ended, or sets its next timer.
    fn finish_or_arm(&mut self, now: Timestamp, slot: usize, reply: &mut Reply) {
        let entry = &mut self.commands[slot];
        if entry.command.is_closed && entry.command.in_flight_count() == 0 {
            self.slot_by_id.remove(&entry.command.id.0);
            self.commands.remove(slot);
            return;
        }
        if let Some(delay) = self.balancer.wakeup_delay(now, Some(&entry.command)) {
            if entry.armed_for != Some(now + delay) {
                entry.armed_for = Some(now + delay);
                let token = (slot as u64) << 32 | u64::from(entry.command.id.0);
                timer(self.number, delay, token, reply);
            }
        }
    }

    /// Writes the balancer's actions to the reply and sets the node's timer.
    fn run_actions(&mut self, now: Timestamp, reply: &mut Reply) {
        while let Some(errand) = self.balancer.next_action(now) {
            match errand {
                Action::Probe(backend) => reply.action(60, self.number, &[&backend.0.to_be_bytes()]),
                Action::CloseIdleConnections(backend) => {
                    reply.action(70, self.number, &[&backend.0.to_be_bytes()])
                }
                Action::RequestList => reply.action(110, self.number, &[&[1]]),
                Action::Reevaluate(hand) => {
                    if self.commands.contains(hand.0 as usize) {
                        self.decide_again(now, hand.0 as usize, reply);
                    }
                }
            }
        }
        if let Some(span) = self.balancer.wakeup_delay(now, None) {
            if self.armed_for.is_none_or(|at| now + span < at) {
                self.armed_for = Some(now + span);
                timer(self.number, span, NODE_TIMER, reply);
            }
        }
    }
}

fn timer(instance: u32, delay: Micros, token: u64, reply: &mut Reply) {
    let nanos = (delay.0 * 1000).max(1);
    reply.action(50, instance, &[&nanos.to_be_bytes(), &token.to_be_bytes()]);
}
