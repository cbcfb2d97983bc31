//! Serves one command, from the moment it is accepted to its answer.

use crate::bodies::{Out, Start};
use crate::client_connections::Busy;
use crate::counts::{Account, End};
use crate::dispatcher::Desk;
use crate::launch::Launch;
use crate::launch_types::{Answer, Cargo, Done, Reins};
use crate::log::note;
use crate::node::Node;
use crate::reply::{plain, turn_back, Reply};
use crate::sites::Ticket;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tower::ServiceExt;
use yarrowfront::command::{Command, Outcome};
use yarrowfront::decide::Say;
use yarrowfront::ids::Hand;
use yarrowfront::times::Span;

/// A command in flight. It is dropped when the command has its answer, or earlier if the client disconnects.
struct Held {
    desk: Rc<Desk>,
    hand: Hand,
    /// Receives the results of the launches.
    ended: mpsc::UnboundedReceiver<Done>,
    /// Indexed by the launch's number.
    out: Vec<Rc<Reins>>,
    /// The statistics of the command, if any are kept, and its admission by the site failover plan, if there
    /// is one.
    account: Option<Account>,
    ticket: Option<Ticket>,
    /// Keeps its connection from being closed as idle.
    _busy: Busy,
}

impl Held {
    /// Reports how the command ended to the statistics and the failover plan, once.
    fn over(&mut self, end: End) {
        let (account, ticket) = (&mut self.account, self.ticket.take());
        if account.is_none() && ticket.is_none() {
            return;
        }
        let (now, arrived) = (self.desk.clock.now(), self.desk.arrived(self.hand));
        if let Some(ticket) = ticket {
            ticket.ended(end, now.since(arrived));
        }
        if let Some(account) = account {
            account.over(now, arrived, end);
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.over(End::Left);
        // A launch with an incomplete streaming body cannot complete any more.
        let coming = self.desk.coming(self.hand);
        self.out.iter().for_each(|out| if coming { out.call_off() } else { out.leave() });
        if self.desk.leave(self.hand) {
            note!("command: the client disconnected before its answer");
        }
        // Results that were not received yet are still reported to the balancer. Launches that end later
        // report their own.
        self.ended.close();
        while let Ok(done) = self.ended.try_recv() {
            self.desk.after(self.hand, &done, false);
        }
    }
}

pub async fn serve(
    node: &Node,
    command: Command,
    id: HeaderValue,
    cargo: Rc<Cargo>,
    (busy, ticket): (Busy, Option<Ticket>),
) -> Reply {
    let desk = &node.desk;
    let ends = command.ends;
    let Some((hand, again)) = desk.take(command, id) else {
        return plain(StatusCode::CONFLICT, "a command with this id is in flight");
    };
    let (end, ended) = mpsc::unbounded_channel();
    let account = desk.account(hand);
    let out = Vec::new();
    let mut held = Held { desk: desk.clone(), hand, ended, out, account, ticket, _busy: busy };
    let (flowed, mut over) = watch::channel(false);
    let flowed = Rc::new(flowed);
    let mut say = desk.place(hand);
    loop {
        match say {
            Say::Launch(backend) => {
                let (number, address) = (desk.last_launch(hand), desk.address(backend));
                let (cargo, flowed) = (cargo.clone(), flowed.clone());
                let reins = Rc::<Reins>::default();
                held.out.push(reins.clone());
                let launch =
                    Launch { cargo, hand, number, backend, address, ends, flowed, reins: reins.clone() };
                let (launcher, desk, end) = (node.launcher.clone(), desk.clone(), end.clone());
                held.account.iter_mut().for_each(|account| account.launched(desk.clock.now()));
                // The launch has its own task: if the client disconnects, the balancer still learns the
                // outcome.
                tokio::task::spawn_local(async move {
                    let done = tokio::select! {
                        biased;
                        Ok(done) = launcher.oneshot(launch) => done,
                        // Dropping the launch closes its connection. If it was written, the backend may have
                        // run it.
                        () = reins.called_off() => Done::bare(number, backend, match reins.written() {
                            true => Outcome::Cancelled,
                            false => Outcome::Unsent,
                        }),
                    };
                    if let Err(unread) = end.send(done) {
                        desk.after(hand, &unread.0, false);
                    }
                });
            }
            Say::NotYet => {}
            Say::TurnBack(span) => {
                held.over(End::TurnedBack);
                return turn_back(span);
            }
            Say::Errored => {
                held.over(End::Errored);
                return plain(StatusCode::BAD_GATEWAY, "errored");
            }
            Say::CallOff(launch) => {
                // If a result is queued already, it is handled before the cancellation's.
                held.out[usize::from(launch)].call_off();
            }
        }
        let wait = desk.wait(hand);
        // No deadline applies while the request body is streaming: the command's time counts from the last
        // byte.
        let flows = desk.coming(hand);
        say = tokio::select! {
            biased;
            Some(mut done) = held.ended.recv() => {
                let say = desk.after(hand, &done, cargo.spent());
                let proves = done.outcome.proves_not_run(desk.full_may_have_run());
                held.account.iter_mut().for_each(|account| account.outcome(proves));
                if let Some(answer) = done.answer.take() {
                    held.over(End::Finished);
                    return finished(answer, held);
                }
                say
            }
            Ok(()) = over.changed(), if flows => {
                desk.flowed(hand);
                Say::NotYet
            }
            // During a stop the last byte would arrive too late for an answer. Without it the command cannot
            // have run.
            () = node.stop.past(node.limits.idle_on), if flows => {
                held.over(End::TurnedBack);
                return turn_back(Span(0));
            }
            // Even an answer that a backend sends now would not reach the client before the process is
            // killed.
            () = node.stop.past(node.limits.answer_by.get()), if !flows => desk.give_up(hand),
            () = again.notified(), if !flows => desk.place(hand),
            () = sleep(wait.unwrap_or_default()), if wait.is_some() && !flows => desk.place(hand),
        };
    }
}

fn finished(answer: Answer, held: Held) -> Reply {
    let mut reply = Response::new(match answer.body {
        Start::Whole(body) => Out::from(body),
        // The command stays in flight until the last byte of the answer is written: until then its id is not
        // free and its connection does not count as idle.
        Start::Flows(mut flow) => {
            flow.keep(Rc::new(held));
            Out::Flows(flow)
        }
    });
    *reply.headers_mut() = answer.headers;
    reply
}
