//! A command's life, from the moment it is in hand to its answer.

use crate::bodies::{Out, Start};
use crate::cargo::{Answer, Cargo, Done, Reins};
use crate::counts::{Account, End};
use crate::desk::Desk;
use crate::guests::Busy;
use crate::launch::Launch;
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
use yarrowfront::decide::Decision;
use yarrowfront::ids::CommandHandle;
use yarrowfront::times::Micros;

/// A command in hand. Dropped when it has its answer, or before that when its client has gone.
struct Held {
    desk: Rc<Desk>,
    hand: CommandHandle,
    ended: mpsc::UnboundedReceiver<Done>,
    /// By a launch's number.
    out: Vec<Rc<Reins>>,
    /// What is counted of it, where anything is, and by what it was let in, where a plan for lost sites asks that.
    account: Option<Account>,
    ticket: Option<Ticket>,
    /// Its connection stays as long as it does.
    _busy: Busy,
}

impl Held {
    /// It has its end: told to whoever counts it, once.
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
        // A launch whose last byte its client still owes never comes whole.
        let coming = self.desk.coming(self.hand);
        self.out.iter().for_each(|out| if coming { out.call_off() } else { out.leave() });
        if self.desk.leave(self.hand) {
            note!("command: its client has left before its answer");
        }
        // An outcome that nobody came to read is told all the same; later ones are told by their launches.
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
    let ends = command.deadline;
    let Some((hand, again)) = desk.take(command, id) else {
        return plain(StatusCode::CONFLICT, "a command with this id is in hand");
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
            Decision::Launch(backend) => {
                let (number, address) = (desk.last_launch(hand), desk.address(backend));
                let (cargo, flowed) = (cargo.clone(), flowed.clone());
                let reins = Rc::<Reins>::default();
                held.out.push(reins.clone());
                let launch =
                    Launch { cargo, hand, number, backend, address, ends, flowed, reins: reins.clone() };
                let (launcher, desk, end) = (node.launcher.clone(), desk.clone(), end.clone());
                held.account.iter_mut().for_each(|account| account.launched(desk.clock.now()));
                // A task of its own: should the client go, the module still learns what came of it.
                tokio::task::spawn_local(async move {
                    let done = tokio::select! {
                        biased;
                        Ok(done) = launcher.oneshot(launch) => done,
                        // Its connection goes with it; if it was written it may have run.
                        () = reins.called_off() => Done::bare(number, backend, match reins.written() {
                            true => Outcome::Cancelled,
                            false => Outcome::NotSent,
                        }),
                    };
                    if let Err(unread) = end.send(done) {
                        desk.after(hand, &unread.0, false);
                    }
                });
            }
            Decision::Wait => {}
            Decision::Reject(span) => {
                held.over(End::TurnedBack);
                return turn_back(span);
            }
            Decision::Fail => {
                held.over(End::Errored);
                return plain(StatusCode::BAD_GATEWAY, "errored");
            }
            Decision::CancelLaunch(launch) => {
                // An outcome that is on its way already goes first.
                held.out[usize::from(launch)].call_off();
            }
        }
        let wait = desk.wait(hand);
        // While its body flows nothing is late: its time counts from the last byte.
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
                Decision::Wait
            }
            // At a stop its last byte would come too late for an answer. Until then it has not run.
            () = node.stop.past(node.limits.idle_on), if flows => {
                held.over(End::TurnedBack);
                return turn_back(Micros(0));
            }
            // Not even an answer of the backend's would reach its client before the kill.
            () = node.stop.past(node.limits.answer_by.get()), if !flows => desk.give_up(hand),
            () = again.notified(), if !flows => desk.place(hand),
            () = sleep(wait.unwrap_or_default()), if wait.is_some() && !flows => desk.place(hand),
        };
    }
}

fn finished(answer: Answer, held: Held) -> Reply {
    let mut reply = Response::new(match answer.body {
        Start::Whole(body) => Out::from(body),
        // In hand until its last byte is out: its id is not free before, nor does its connection count as idle.
        Start::Flows(mut flow) => {
            flow.keep(Rc::new(held));
            Out::Flows(flow)
        }
    });
    *reply.headers_mut() = answer.headers;
    reply
}
