//! A command's life, from the moment it is in hand to its answer.

use crate::desk::Desk;
use crate::intake::{plain, Node, Reply};
use crate::launch::{Answer, Cargo, Done, Launch};
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use tower::ServiceExt;
use yarrowfront::command::{Command, Outcome};
use yarrowfront::decide::Say;
use yarrowfront::ids::Hand;
use yarrowfront::times::Span;

/// A command in hand. Dropped when it has its answer, or before that when its client has gone.
struct Held {
    desk: Rc<Desk>,
    hand: Hand,
    ended: mpsc::UnboundedReceiver<Done>,
    /// By a launch's number: what calls it off.
    out: Vec<Option<oneshot::Sender<()>>>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.desk.leave(self.hand);
        // An outcome that nobody came to read is told all the same; later ones are told by their launches.
        self.ended.close();
        while let Ok(done) = self.ended.try_recv() {
            self.desk.after(self.hand, &done);
        }
    }
}

pub async fn serve(node: &Node, command: Command, id: HeaderValue, cargo: Rc<Cargo>) -> Reply {
    let desk = &node.desk;
    let ends = command.ends;
    let Some((hand, again)) = desk.take(command, id) else {
        return plain(StatusCode::CONFLICT, "a command with this id is in hand");
    };
    let (end, ended) = mpsc::unbounded_channel();
    let mut held = Held { desk: desk.clone(), hand, ended, out: Vec::new() };
    let mut say = desk.place(hand);
    loop {
        match say {
            Say::Launch(backend) => {
                let (number, address) = (desk.last_launch(hand), desk.address(backend));
                let launch = Launch { cargo: cargo.clone(), number, backend, address, ends };
                let (launcher, desk, end) = (node.launcher.clone(), desk.clone(), end.clone());
                let (kept, called_off) = oneshot::channel();
                held.out.push(Some(kept));
                // A task of its own: should the client go, the module still learns what came of it.
                tokio::task::spawn_local(async move {
                    let done = tokio::select! {
                        biased;
                        Ok(done) = launcher.oneshot(launch) => done,
                        // Its connection goes with it; it may have run.
                        Ok(()) = called_off => Done::bare(number, backend, Outcome::Cancelled),
                    };
                    if let Err(unread) = end.send(done) {
                        desk.after(hand, &unread.0);
                    }
                });
            }
            Say::NotYet => {}
            Say::TurnBack(span) => return turn_back(span),
            Say::Errored => return plain(StatusCode::BAD_GATEWAY, "errored"),
            Say::CallOff(launch) => {
                // An outcome that is on its way already goes first.
                let _ = held.out[usize::from(launch)].take().map(|kept| kept.send(()));
            }
        }
        let wait = desk.wait(hand);
        say = tokio::select! {
            biased;
            Some(mut done) = held.ended.recv() => {
                let say = desk.after(hand, &done);
                if let Some(answer) = done.answer.take() {
                    return finished(answer);
                }
                say
            }
            () = again.notified() => desk.place(hand),
            () = sleep(wait.unwrap_or_default()), if wait.is_some() => desk.place(hand),
        };
    }
}

fn finished(answer: Answer) -> Reply {
    let mut reply = Response::new(Full::new(answer.body));
    *reply.headers_mut() = answer.headers;
    reply
}

fn turn_back(span: Span) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "turned back");
    if span > Span(0) {
        let seconds = format!("{:.3}", span.micros() / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}
