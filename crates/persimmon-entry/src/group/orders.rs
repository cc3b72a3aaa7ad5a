use super::OwnedGroup;
use crate::platform::{Platform, RunRef};
use persimmon_sched::{Answer, Order, TaskId};
use std::rc::Rc;

impl<P: Platform> OwnedGroup<P> {
    /// Makes the call that an order asks for and passes the answer to the engine.
    pub(super) async fn execute_order(self: Rc<Self>, order: Order) {
        match order {
            Order::Start {
                runner,
                task,
                run,
                job,
                checkpoint,
            } => {
                let deadline_ms = self.start_deadline_ms(&runner, task, run);
                let info = self.runners.borrow().get(&runner).cloned();
                let answer = match (info, deadline_ms) {
                    (Some(info), Ok(deadline_ms)) => {
                        let run_ref = self.run_ref(task, run);
                        let platform = &self.shared.platform;
                        platform
                            .start(&info, run_ref, &job, &checkpoint, deadline_ms)
                            .await
                    }
                    (None, Ok(_)) => Answer::NotSent,
                    (_, Err(answer)) => answer,
                };
                let now = self.shared.now();
                self.engine
                    .borrow_mut()
                    .handle_start_answer(task, run, answer, now);
            }
            Order::Stop { runner, task, run } => {
                let Some(info) = self.runners.borrow().get(&runner).cloned() else {
                    return;
                };
                match self
                    .shared
                    .platform
                    .stop(&info, self.run_ref(task, run))
                    .await
                {
                    Ok(()) => {
                        let now = self.shared.now();
                        self.engine.borrow_mut().handle_stop_answer(task, run, now);
                    }
                    Err(err) => log::debug!("event=run.stop task={task} fault=\"{err}\""),
                }
            }
            Order::Throttle {
                runner,
                task,
                run,
                percent,
            } => {
                let Some(info) = self.runners.borrow().get(&runner).cloned() else {
                    log::debug!(
                        "event=run.pace task={task} run={run} runner={runner} percent={percent} \
                         fault=\"runner is not known\""
                    );
                    return;
                };
                let run_ref = self.run_ref(task, run);
                match self.shared.platform.throttle(&info, run_ref, percent).await {
                    Ok(()) => {
                        let now = self.shared.now();
                        self.engine
                            .borrow_mut()
                            .handle_throttle_answer(task, run, percent, now);
                    }
                    // The engine repeats an order that is not acknowledged.
                    Err(err) => log::info!(
                        "event=run.pace task={task} run={run} runner={runner} percent={percent} \
                         fault=\"{err}\""
                    ),
                }
            }
        }
        self.wake.notify_one();
    }

    /// Lease deadline to send with a start; the answer to handle instead if it must not be sent.
    fn start_deadline_ms(&self, runner: &str, task: TaskId, run: u32) -> Result<u64, Answer> {
        let now = self.shared.now();
        let mut engine = self.engine.borrow_mut();
        let deadline_ms = engine.start_deadline_ms(runner, task, run, now);
        if let Err(answer) = deadline_ms {
            log::info!(
                "event=start.withheld task={task} run={run} runner={runner} answer={answer:?}"
            );
        }
        deadline_ms
    }

    fn run_ref(&self, task: TaskId, number: u32) -> RunRef {
        RunRef {
            task,
            number,
            fencing_token: self.fencing_token,
        }
    }
}
