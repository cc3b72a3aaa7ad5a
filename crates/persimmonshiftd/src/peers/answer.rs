use super::gossip;
use crate::{
    config,
    context::Context,
    message::{Answer, HolderWire, Question},
    report,
};
use persimmon_lease::Holder;
use persimmon_mesh::Handler;
use std::sync::{Arc, OnceLock};

/// Answers other daemons.
#[derive(Default)]
pub(crate) struct MeshHandler {
    /// Set once the context exists; calls before that are withheld.
    pub(crate) context: OnceLock<Arc<Context>>,
}

impl Handler<Question, Answer> for MeshHandler {
    async fn handle(&self, message: Question) -> Answer {
        match self.context.get() {
            Some(context) => answer(context, message).await,
            None => Answer::Withheld {
                reason: "starting".to_owned(),
            },
        }
    }
}

async fn answer(context: &Arc<Context>, message: Question) -> Answer {
    match message {
        Question::Gossip(news) => {
            gossip::take(context, *news);
            Answer::News(Box::new(gossip::news(context)))
        }
        Question::Config { head } => {
            config::adopt(context, &head, "mesh");
            Answer::ConfigNumber(context.config.lock().number())
        }
        Question::AskConfig => Answer::Config(context.config.lock().text()),
        Question::Promise(holder) => promise(context, holder),
        Question::Release(holder) => release(context, holder),
        Question::Shard(question) => Answer::Shard(Box::new(context.shards.ask(question).await)),
        Question::Keyed(request) => {
            Answer::Keyed(context.services.answer_keyed(context, request).await)
        }
        Question::Burn => Answer::Burn(Box::new(report::share(context).await)),
    }
}

fn promise(context: &Context, holder: HolderWire) -> Answer {
    let holder = Holder {
        member: holder.member,
        incarnation: holder.incarnation,
    };
    let reachable = context.is_store_reachable();
    let given = context
        .witness
        .lock()
        .promise(&holder, context.now(), reachable);
    match given {
        Ok(()) => Answer::Given {
            incarnation: context.incarnation,
        },
        Err(err) => Answer::Withheld {
            reason: err.to_string(),
        },
    }
}

fn release(context: &Context, holder: HolderWire) -> Answer {
    let holder = Holder {
        member: holder.member,
        incarnation: holder.incarnation,
    };
    let given = context.witness.lock().release(&holder, context.now());
    match given {
        Ok(()) => Answer::Given {
            incarnation: context.incarnation,
        },
        Err(err) => Answer::Withheld {
            reason: err.to_string(),
        },
    }
}
