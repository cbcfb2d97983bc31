//! Keeps the failure of one task from becoming the failure of the process, or from passing unnoticed.

use crate::lifecycle::Lifecycle;
use std::future::Future;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Starts a task without which the process cannot serve for long, such as the watch over the list of backends. If it
/// fails, the process is stopped as by an operator: what it has taken is answered, and its supervisor starts it anew.
pub fn spawn_essential(
    name: &'static str,
    lifecycle: &Rc<Lifecycle>,
    task: impl Future<Output = ()> + 'static,
) {
    let (lifecycle, task) = (lifecycle.clone(), spawn_local(task));
    spawn_local(async move {
        if task.await.is_err_and(|error| error.is_panic()) {
            lifecycle.stop_after_failure(name);
        }
    });
}

#[cfg(test)]
mod tests {
    use super::spawn_essential;
    use crate::lifecycle::Lifecycle;
    use std::rc::Rc;
    use std::time::Duration;
    use tokio::task::LocalSet;

    /// Guards against a process that goes on without one of its parts, for example with a list of backends that is never
    /// updated again.
    #[test]
    fn a_failed_essential_task_stops_the_process() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let lifecycle = Rc::new(Lifecycle::new());
            spawn_essential("one that ends", &lifecycle, async {});
            tokio::task::yield_now().await;
            assert_eq!((lifecycle.is_stopping(), lifecycle.failed_task()), (false, None));
            spawn_essential("one that fails", &lifecycle, async { panic!("on purpose") });
            lifecycle.wait_until_stopped_for(Duration::ZERO).await;
            assert_eq!(lifecycle.failed_task(), Some("one that fails"));
        });
    }
}
