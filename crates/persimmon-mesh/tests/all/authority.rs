use persimmon_mesh::{Authority, Credentials, Handler, Mesh, Options};
use std::{net::SocketAddr, sync::Arc, time::Duration};

pub(crate) struct Doubler;

impl Handler<u32, u32> for Doubler {
    async fn handle(&self, message: u32) -> u32 {
        message * 2
    }
}

pub(crate) fn open_mesh(credentials: &Credentials) -> Arc<Mesh<u32, u32>> {
    open_mesh_at(credentials, "127.0.0.1:0".parse().expect("valid address"))
}

pub(crate) fn open_mesh_at(credentials: &Credentials, address: SocketAddr) -> Arc<Mesh<u32, u32>> {
    Arc::new(Mesh::open(address, credentials, Options::default()).expect("bound mesh"))
}

async fn call(from: &Credentials, to: &Credentials) -> Option<u32> {
    let server = open_mesh(to);
    let address = server.local_address().expect("local address");
    tokio::spawn(Arc::clone(&server).serve(Arc::new(Doubler)));
    let client = open_mesh(from);
    let answer = client.call(address, &21, Duration::from_secs(5)).await;
    answer.ok()
}

#[tokio::test]
async fn reloaded_authority_issues_accepted_certificates() {
    let authority = Authority::create().expect("new authority");
    let reloaded = Authority::from_pem(authority.certificate(), authority.private_key());
    let reloaded = reloaded.expect("reloaded authority");
    let credentials =
        [authority.issue("a"), reloaded.issue("b")].map(|it| it.expect("credentials"));
    assert_eq!(call(&credentials[0], &credentials[1]).await, Some(42));
    assert_eq!(call(&credentials[1], &credentials[0]).await, Some(42));
}

#[tokio::test]
async fn certificate_of_another_authority_is_rejected() {
    let issue = || Authority::create().and_then(|it| it.issue("a"));
    let (own, foreign) = (issue().expect("credentials"), issue().expect("credentials"));
    assert_eq!(call(&foreign, &own).await, None);
}
