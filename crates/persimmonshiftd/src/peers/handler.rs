use super::gossip;
use crate::{
    burn_report, config,
    context::Context,
    message::{HolderWire, PeerRequest, PeerResponse},
};
use persimmon_lease::Holder;
use persimmon_mesh::Handler;
use std::sync::{Arc, OnceLock};

/// Handles the requests of other daemons.
#[derive(Default)]
pub(crate) struct MeshHandler {
    /// Set once the context exists; requests before that are denied.
    pub(crate) context: OnceLock<Arc<Context>>,
}

impl Handler<PeerRequest, PeerResponse> for MeshHandler {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match self.context.get() {
            Some(context) => respond(context, request).await,
            None => PeerResponse::Denied {
                reason: "starting".to_owned(),
            },
        }
    }
}

async fn respond(context: &Arc<Context>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Gossip(status) => {
            gossip::record_status(context, *status);
            PeerResponse::Gossip(Box::new(gossip::local_status(context)))
        }
        PeerRequest::Config { record } => {
            config::adopt(context, &record, "mesh");
            PeerResponse::ConfigNumber(context.config.lock().number())
        }
        PeerRequest::GetConfig => PeerResponse::Config(context.config.lock().encoded()),
        PeerRequest::Promise(holder) => promise(context, holder),
        PeerRequest::Release(holder) => release(context, holder),
        PeerRequest::Shard(request) => {
            PeerResponse::Shard(Box::new(context.shards.ask(request).await))
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
    let store_reachable = context.is_store_reachable();
    let granted = context
        .witness
        .lock()
        .promise(&holder, context.now(), store_reachable);
    match granted {
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
    let granted = context.witness.lock().release(&holder, context.now());
    match granted {
        Ok(()) => PeerResponse::Granted {
            incarnation: context.incarnation,
        },
        Err(err) => PeerResponse::Denied {
            reason: err.to_string(),
        },
    }
}
