use super::gossip;
use crate::{
    burn_report, config,
    context::Context,
    message::{HolderWire, PeerRequest, PeerResponse},
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

impl Handler<PeerRequest, PeerResponse> for MeshHandler {
    async fn handle(&self, message: PeerRequest) -> PeerResponse {
        match self.context.get() {
            Some(context) => answer(context, message).await,
            None => PeerResponse::Denied {
                reason: "starting".to_owned(),
            },
        }
    }
}

async fn answer(context: &Arc<Context>, message: PeerRequest) -> PeerResponse {
    match message {
        PeerRequest::Gossip(news) => {
            gossip::take(context, *news);
            PeerResponse::Gossip(Box::new(gossip::news(context)))
        }
        PeerRequest::Config { record } => {
            config::adopt(context, &record, "mesh");
            PeerResponse::ConfigNumber(context.config.lock().number())
        }
        PeerRequest::GetConfig => PeerResponse::Config(context.config.lock().encoded()),
        PeerRequest::Promise(holder) => promise(context, holder),
        PeerRequest::Release(holder) => release(context, holder),
        PeerRequest::Shard(question) => {
            PeerResponse::Shard(Box::new(context.shards.ask(question).await))
        }
        PeerRequest::Keyed(request) => {
            PeerResponse::Keyed(context.services.serve_keyed(context, request).await)
        }
        PeerRequest::Burn => PeerResponse::Burn(Box::new(burn_report::local_share(context).await)),
    }
}

fn promise(context: &Context, holder: HolderWire) -> PeerResponse {
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
        Ok(()) => PeerResponse::Granted {
            incarnation: context.incarnation,
        },
        Err(err) => PeerResponse::Denied {
            reason: err.to_string(),
        },
    }
}

fn release(context: &Context, holder: HolderWire) -> PeerResponse {
    let holder = Holder {
        member: holder.member,
        incarnation: holder.incarnation,
    };
    let given = context.witness.lock().release(&holder, context.now());
    match given {
        Ok(()) => PeerResponse::Granted {
            incarnation: context.incarnation,
        },
        Err(err) => PeerResponse::Denied {
            reason: err.to_string(),
        },
    }
}
