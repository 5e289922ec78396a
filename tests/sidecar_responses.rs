//! What an ingress makes of a sidecar's response.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use jackdawpulley::calls::outcome::{self, OUTCOME, REASON, Reason};

fn read(status: u16, fields: &[(&'static str, &'static str)]) -> Result<(), Reason> {
    let fields = fields.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    let status = StatusCode::from_u16(status).expect("three digits");
    outcome::of_sidecar(status, &fields.collect::<HeaderMap>())
}

#[test]
fn answers_and_reasons() {
    assert_eq!(read(200, &[(OUTCOME, "answered")]), Ok(()));
    assert_eq!(read(599, &[(OUTCOME, "answered")]), Ok(()));
    assert_eq!(read(503, &[(REASON, "draining")]), Err(Reason::Draining));
    assert_eq!(read(503, &[(REASON, "unheard")]), Err(Reason::Broken));
    assert_eq!(read(200, &[]), Err(Reason::Broken));
}

/// Guards against malformed responses that a sidecar of another release passes on, or believes.
#[test]
fn malformed_responses() {
    let answered = (OUTCOME, "answered");
    let refused = (REASON, "draining");
    for status in [100, 101, 199, 600, 999] {
        assert_eq!(read(status, &[answered]), Err(Reason::Broken), "{status}");
        assert_eq!(read(status, &[refused]), Err(Reason::Broken), "{status}");
    }
    let coded = ("transfer-encoding", "gzip");
    assert_eq!(read(200, &[answered, coded]), Err(Reason::Broken));
}
