//! Serves one command, from the moment it is accepted to its answer.

use crate::bodies::{OutgoingBody, ReadBody};
use crate::body_stream::{BodyBreak, BodyOwner, CutOnDrop};
use crate::client_connections::CommandGuard;
use crate::counts::{CommandEnd, CommandRecorder};
use crate::dispatcher::Dispatcher;
use crate::launch::Launch;
use crate::launch_types::{BackendAnswer, LaunchControl, LaunchResult, OutboundRequest};
use crate::log::{log, ShownId};
use crate::metrics::{count, Counter};
use crate::node::Node;
use crate::reply::{rejection, text_reply, Reply};
use crate::sites::AdmissionTicket;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};
use tower::ServiceExt;
use yarrowfront::command::{Command, Outcome};
use yarrowfront::decide::Decision;
use yarrowfront::ids::{BackendId, CommandHandle};
use yarrowfront::times::Micros;

/// A command in flight. It is dropped when the command has its answer, or earlier if the client disconnects.
struct ActiveCommand {
    dispatcher: Rc<Dispatcher>,
    handle: CommandHandle,
    client_id: HeaderValue,
    accepted_at: Instant,
    /// Receives the results of the launches.
    results: mpsc::UnboundedReceiver<LaunchResult>,
    /// Indexed by the launch's number.
    controls: Vec<Rc<LaunchControl>>,
    /// The statistics of the command, if any are kept, and its admission by the site failover plan, if there
    /// is one.
    recorder: Option<CommandRecorder>,
    ticket: Option<AdmissionTicket>,
    /// Keeps its connection from being closed as idle.
    _command_guard: CommandGuard,
    /// Dropped with its connection, also while its answer is passed on.
    _cut_guard: Option<CutOnDrop>,
}

/// What a command holds of its connection.
pub struct ClientGuards {
    pub command: CommandGuard,
    pub ticket: Option<AdmissionTicket>,
    /// Marks its request's body as cut off if that is still arriving.
    pub cut: Option<CutOnDrop>,
}

impl ActiveCommand {
    /// Logs an end without a backend's answer, and what had been tried.
    fn log_end(&self, end: &str) {
        log!(
            "command {}: {end} after {} ms and {} launches",
            ShownId(&self.client_id),
            self.accepted_at.elapsed().as_millis(),
            self.controls.len()
        );
    }

    /// Logs and counts a command that is turned back or failed.
    fn record_refusal(&mut self, end: CommandEnd) {
        let (counter, text) = match end {
            CommandEnd::Failed => (Counter::CommandsFailed, "failed"),
            _ => (Counter::CommandsRejected, "turned back"),
        };
        count(counter);
        self.log_end(text);
        self.record_end(end);
    }

    /// Reports how the command ended to the statistics and the failover plan, once.
    fn record_end(&mut self, end: CommandEnd) {
        let (recorder, ticket) = (&mut self.recorder, self.ticket.take());
        if recorder.is_none() && ticket.is_none() {
            return;
        }
        let (now, arrived_at) = (self.dispatcher.clock.now(), self.dispatcher.arrived_at(self.handle));
        if let Some(ticket) = ticket {
            ticket.record_end(end, now.since(arrived_at));
        }
        if let Some(recorder) = recorder {
            recorder.record_end(now, arrived_at, end);
        }
    }
}

impl BodyOwner for ActiveCommand {
    fn record_break(&self, reason: BodyBreak, received_bytes: usize) {
        let (counter, text) = match reason {
            BodyBreak::SenderBroke => (Counter::AnswersBrokenByBackend, "its backend broke it off"),
            BodyBreak::SenderSilent => (Counter::AnswersBrokenSilent, "its backend was silent for too long"),
            BodyBreak::OutOfTime => (Counter::AnswersBrokenOutOfTime, "it did not end in its client's time"),
            BodyBreak::TooLarge => (Counter::AnswersBrokenTooLarge, "it is too large"),
            BodyBreak::ReceiverGone => (Counter::AnswersBrokenClientLeft, "its client left"),
        };
        count(counter);
        log!(
            "command {}: answer broken off after {received_bytes} bytes and {} ms: {text}",
            ShownId(&self.client_id),
            self.accepted_at.elapsed().as_millis()
        );
    }
}

impl Drop for ActiveCommand {
    fn drop(&mut self) {
        self.record_end(CommandEnd::ClientGone);
        // A launch with an incomplete streaming body cannot complete any more.
        let body_is_incomplete = self.dispatcher.is_body_streaming(self.handle);
        self.controls
            .iter()
            .for_each(|control| if body_is_incomplete { control.cancel() } else { control.detach() });
        let closed = mpsc::unbounded_channel().1;
        let end = CommandClosing {
            dispatcher: self.dispatcher.clone(),
            handle: self.handle,
            results: std::mem::replace(&mut self.results, closed),
        };
        if std::thread::panicking() {
            // A second panic while the first one unwinds would end the process.
            drop(spawn_local(async move { end.close() }));
        } else if end.close() {
            count(Counter::CommandsAbandoned);
            self.log_end("the client disconnected before its answer");
        }
    }
}

/// What is left to do when nobody waits for a command any more.
struct CommandClosing {
    dispatcher: Rc<Dispatcher>,
    handle: CommandHandle,
    results: mpsc::UnboundedReceiver<LaunchResult>,
}

impl CommandClosing {
    /// Tells the balancer that the client is done; true if it had no answer. Results that were not received yet are
    /// still reported. Launches that end later report their own.
    fn close(mut self) -> bool {
        let had_no_answer = self.dispatcher.record_client_done(self.handle);
        self.results.close();
        while let Ok(result) = self.results.try_recv() {
            self.dispatcher.record_launch_result(self.handle, &result, false);
        }
        had_no_answer
    }
}

/// Serves a command until it has its answer.
pub async fn serve(
    node: &Node,
    command: Command,
    client_id: HeaderValue,
    outbound: Rc<OutboundRequest>,
    guards: ClientGuards,
) -> Reply {
    let dispatcher = &node.dispatcher;
    let deadline = command.deadline;
    let Some((handle, reevaluation_due)) = dispatcher.register(command, client_id.clone()) else {
        count(Counter::RefusedDuplicateId);
        log!("command {}: refused: a command with this id is in hand or may have run", ShownId(&client_id));
        return text_reply(StatusCode::CONFLICT, "a command with this id is in hand");
    };
    count(Counter::CommandsAccepted);
    let (end, results) = mpsc::unbounded_channel();
    let recorder = dispatcher.start_recorder(handle);
    let controls = Vec::new();
    let mut active = ActiveCommand {
        dispatcher: dispatcher.clone(),
        handle,
        client_id,
        accepted_at: Instant::now(),
        results,
        controls,
        recorder,
        ticket: guards.ticket,
        _command_guard: guards.command,
        _cut_guard: guards.cut,
    };
    if let Some(id) = dispatcher.once_id(handle) {
        let time_left = dispatcher.clock.instant(deadline).saturating_duration_since(Instant::now());
        if !node.peer.claim(id, time_left).await {
            return refuse_duplicate(&mut active);
        }
    }
    let mut decision = dispatcher.decide(handle);
    loop {
        match decision {
            Decision::Launch(backend) => {
                let (number, address) = (dispatcher.last_launch_number(handle), dispatcher.address(backend));
                let control = Rc::<LaunchControl>::default();
                active.controls.push(control.clone());
                count(Counter::Launches);
                if number > 0 {
                    count(Counter::Relaunches);
                    log!(
                        "command {}: launch {number} goes to {} after {} ms",
                        ShownId(&active.client_id),
                        dispatcher.backend_name(backend),
                        active.accepted_at.elapsed().as_millis()
                    );
                }
                let launch = Launch {
                    outbound: outbound.clone(),
                    handle,
                    number,
                    backend,
                    address,
                    deadline,
                    control,
                };
                let now = dispatcher.clock.now();
                active.recorder.iter_mut().for_each(|recorder| recorder.record_launch(now));
                spawn_launch(node, launch, end.clone());
            }
            Decision::Wait => {}
            Decision::Reject(retry_after) => {
                active.record_refusal(CommandEnd::Rejected);
                return rejection(retry_after);
            }
            Decision::Fail => {
                active.record_refusal(CommandEnd::Failed);
                return text_reply(StatusCode::BAD_GATEWAY, "errored");
            }
            Decision::CancelLaunch(launch) => {
                // If a result is queued already, it is handled before the cancellation's.
                active.controls[usize::from(launch)].cancel();
            }
        }
        let check_delay = dispatcher.time_until_check(handle);
        // While the request body is streaming, the command's time counts from the last byte, and the launch
        // watches over it.
        let body_is_streaming = dispatcher.is_body_streaming(handle);
        decision = tokio::select! {
            biased;
            Some(mut result) = active.results.recv() => {
                let decision = dispatcher.record_launch_result(handle, &result, outbound.is_body_consumed());
                let proves_not_run = result.outcome.proves_not_run(dispatcher.full_may_have_run());
                active.recorder.iter_mut().for_each(|recorder| recorder.record_outcome(proves_not_run));
                if let Some(answer) = result.answer.take() {
                    count(Counter::CommandsFinished);
                    active.record_end(CommandEnd::Finished);
                    return answer_client(answer, active);
                }
                decision
            }
            ended_at = wait_body_ended(&outbound), if body_is_streaming => {
                dispatcher.record_body_complete(handle, ended_at);
                Decision::Wait
            }
            // During a stop the last byte would arrive too late for an answer. Without it the command cannot
            // have run.
            () = node.lifecycle.wait_until_stopped_for(node.limits.keep_idle_after_stop), if body_is_streaming => {
                active.record_refusal(CommandEnd::Rejected);
                return rejection(Micros(0));
            }
            // Even an answer that a backend sends now would not reach the client before the process is
            // killed.
            () = node.lifecycle.wait_until_stopped_for(node.limits.answer_after_stop.get()), if !body_is_streaming => dispatcher.reject_or_fail(handle),
            () = reevaluation_due.notified(), if !body_is_streaming => dispatcher.decide(handle),
            () = sleep(check_delay.unwrap_or_default()), if check_delay.is_some() && !body_is_streaming => dispatcher.decide(handle),
        };
    }
}

/// Ends a command that the other process of this node may have run.
fn refuse_duplicate(active: &mut ActiveCommand) -> Reply {
    count(Counter::RefusedDuplicateId);
    active.log_end("refused as the other process may have run it");
    active.record_end(CommandEnd::Failed);
    active.dispatcher.reject_or_fail(active.handle);
    text_reply(StatusCode::CONFLICT, "a command with this id is in hand")
}

/// Runs a launch in a task of its own: if the client disconnects, the balancer still learns the outcome.
fn spawn_launch(node: &Node, launch: Launch, results: mpsc::UnboundedSender<LaunchResult>) {
    let (launcher, dispatcher) = (node.launcher.clone(), node.dispatcher.clone());
    let (handle, number, backend) = (launch.handle, launch.number, launch.backend);
    let control = launch.control.clone();
    spawn_local(async move {
        let reporter =
            LaunchReporter { results, dispatcher, handle, number, backend, control, is_done: false };
        let control = reporter.control.clone();
        let result = tokio::select! {
            biased;
            Ok(result) = launcher.oneshot(launch) => result,
            // Dropping the launch closes its connection. If it was written, the backend may have run it.
            () = control.wait_cancelled() => {
                let outcome = if control.may_be_written() { Outcome::Cancelled } else { Outcome::NotSent };
                LaunchResult::without_answer(number, backend, outcome)
            }
        };
        reporter.report(result);
    });
}

/// Reports the result of a launch once, even if its task fails.
struct LaunchReporter {
    results: mpsc::UnboundedSender<LaunchResult>,
    dispatcher: Rc<Dispatcher>,
    handle: CommandHandle,
    number: u8,
    backend: BackendId,
    control: Rc<LaunchControl>,
    is_done: bool,
}

impl LaunchReporter {
    fn report(mut self, result: LaunchResult) {
        self.is_done = true;
        self.send(result);
    }

    fn send(&self, result: LaunchResult) {
        // The command is over: the balancer still learns the outcome.
        if let Err(unreceived) = self.results.send(result) {
            self.dispatcher.record_launch_result(self.handle, &unreceived.0, false);
        }
    }
}

impl Drop for LaunchReporter {
    fn drop(&mut self) {
        if !self.is_done {
            let outcome =
                if self.control.may_be_written() { Outcome::ConnectionLost } else { Outcome::NotSent };
            self.send(LaunchResult::without_answer(self.number, self.backend, outcome));
        }
    }
}

/// Completes once the request body has been passed on, with the time of its last byte.
async fn wait_body_ended(outbound: &OutboundRequest) -> Instant {
    match outbound.streaming_body() {
        Some(body) => body.wait_ended().await,
        None => std::future::pending().await,
    }
}

fn answer_client(answer: BackendAnswer, active: ActiveCommand) -> Reply {
    let mut reply = Response::new(match answer.body {
        ReadBody::Buffered(body) => OutgoingBody::from(body),
        // The command stays in flight until the last byte of the answer is written: until then its id is not
        // free and its connection does not count as idle.
        ReadBody::Streaming(mut stream) => {
            stream.set_owner(Rc::new(active));
            OutgoingBody::Streaming(stream)
        }
    });
    *reply.headers_mut() = answer.headers;
    reply
}
