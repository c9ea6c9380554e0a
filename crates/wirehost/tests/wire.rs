//! The line protocol of the host: the answers to valid batches byte for byte, and an error message for each kind of
//! malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BEGIN: &str = "begin seed=7 zone=z0 nInstances=1 tickNs=1000000 deductions.crossZone=0 discovery=automatic \
    ceilings.cancel=true ceilings.retryAfter=true ceilings.maxRetryAfterNs=50000000 ceilings.mostWriteOuts=3 \
    rules.startCapacity=0.25 rules.coldNs=8000000000 rules.overloadForNs=1000000000 methods.count=1 \
    methods.0.name=order methods.0.effect=fragile methods.0.group=all methods.0.windowNs=1 methods.0.criticality=1 \
    methods.0.latencyBudgetNs=1000000000 methods.0.deadlineNs=3000000000 methods.0.overdueCriticality=0 a.setting.of.tomorrow=1";

fn host(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_appledyke-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The host stops reading at the first error, so writing the rest of the input may fail.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

#[test]
fn answers_batches_byte_for_byte() {
    let output = host(&format!(
        "turn wallNs=1000 serial=1\nend\n\n\
         turn serial=2 wallNs=2000\ninstance who=3\n{BEGIN}\n\
         list rosterId=0 entries=2\n\
         entry endpoint=old site=z0 cohort=0 lifecycle=gone capacityHint=1\n\
         entry endpoint=e.x capacityHint=1 cohort=0 lifecycle=ready site=z0 upSinceNs=0\n\
         sync kind=C epoch=4 rosterId=0\nsync kind=X epoch=0\nneighbour_says sender=2 blob=00\n\
         arrival leftNs=3000000000 service=order requestId=r-1 entity=a/b isWrite=1\n\
         hangup requestId=unheard-of\ntick_due mark=9\nend\n\
         turn wallNs=3000 serial=3\ninstance who=3\n\
         answer requestId=r-1 roundNo=0 endpoint=e.x stateCode=severed durationNs=1000 healthInfo=1,2\nend\n\
         turn wallNs=4000 serial=4\ninstance who=3\n\
         answer requestId=r-1 roundNo=0 endpoint=e.x stateCode=recalled durationNs=1000 noMore=1\n\
         detach\n{BEGIN}\nend\n"
    ));
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "yield serial=1\n\
         context who=3\ncall_out requestId=r-1 endpoint=e.x cutAtNs=998002000\nyield serial=2\n\
         context who=3\nfail requestId=r-1\nyield serial=3\n\
         context who=3\nyield serial=4\n"
    );
    assert!(output.status.success());
}

#[test]
fn reports_what_is_malformed() {
    let turn = "turn wallNs=1 serial=1\n";
    let begun = format!("{turn}instance who=3\n{BEGIN}\n");
    let cases = [
        ("instance who=3\n".to_string(), "line 1: 'instance' comes before 'turn'"),
        ("turn wallNs=soon serial=1\n".to_string(), "line 1: field wallNs has the unreadable value 'soon'"),
        (format!("{turn}hangup requestId=r\n"), "line 2: 'hangup' comes before any 'instance'"),
        (
            format!("{turn}instance who=5\nhangup requestId=r\n"),
            "line 3: 'hangup' is for instance 5, which has not begun",
        ),
        (format!("{begun}dance\n"), "line 4: unknown message 'dance'"),
        (format!("{begun}arrival requestId=r service=order\n"), "line 4: field leftNs is missing"),
        (format!("{begun}arrival requestId=r leftNs=1 service=pay\n"), "line 4: unknown method 'pay'"),
        (format!("{begun}sync kind=F epoch=1 rosterId=2\n"), "line 4: there is no list 2"),
        (format!("{begun}list rosterId=0 entries=1\nend\n"), "line 5: a list still lacks 1 of its entries"),
        (format!("{turn}instance who=3\nbegin seed=1 zone=z0\n"), "line 3: setting discovery is missing"),
        (turn.to_string(), "the input ends within a batch"),
    ];
    for (input, what) in cases {
        let output = host(&input);
        assert_eq!(String::from_utf8_lossy(&output.stderr), format!("appledyke-wirehost: {what}\n"));
        assert!(!output.status.success());
    }
}
