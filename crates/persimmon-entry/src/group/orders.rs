use super::Group;
use crate::platform::{Platform, Run};
use persimmon_sched::{Answer, Order};
use std::rc::Rc;

impl<P: Platform> Group<P> {
    /// Makes one call to a runner and tells the engine the answer.
    pub(super) async fn carry_out(self: Rc<Self>, order: Order) {
        match order {
            Order::Start {
                runner,
                task,
                run,
                job,
                checkpoint,
            } => {
                let now = self.shared.now();
                let deadline_ms = self.engine.borrow_mut().lease_deadline_ms(&runner, now);
                let info = self.runners.borrow().get(&runner).cloned();
                let answer = match (info, deadline_ms) {
                    (Some(info), Some(deadline_ms)) => {
                        let call = self.run_of(task, run);
                        let platform = &self.shared.platform;
                        platform
                            .start(&info, call, &job, &checkpoint, deadline_ms)
                            .await
                    }
                    _ => Answer::NotSent,
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
                    .stop(&info, self.run_of(task, run))
                    .await
                {
                    Ok(()) => {
                        let now = self.shared.now();
                        self.engine.borrow_mut().handle_stop_answer(task, run, now);
                    }
                    Err(fault) => log::debug!("event=run.stop task={task} fault=\"{fault}\""),
                }
            }
            Order::Throttle {
                runner,
                task,
                run,
                percent,
            } => {
                let Some(info) = self.runners.borrow().get(&runner).cloned() else {
                    return;
                };
                let call = self.run_of(task, run);
                if let Err(fault) = self.shared.platform.pace(&info, call, percent).await {
                    log::debug!("event=run.pace task={task} fault=\"{fault}\"");
                }
            }
        }
        self.wake.notify_one();
    }

    fn run_of(&self, task: persimmon_sched::TaskId, number: u32) -> Run {
        Run {
            task,
            number,
            fence: self.fence,
        }
    }
}
