//! Tests of the context header and the texts of refusal reasons.

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use radishgauge_traffic::CallContext;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::context::MAX_DEPTH;

use crate::fleet::cases;
use crate::fleet::ms;

/// Guards against malformed context that is accepted, and against error messages
/// that don't name the malformed field.
#[test]
fn malformed_context_error_names_the_field() {
    let faults = [
        ("", "header"),
        ("depth=1", "deadline"),
        ("deadline=5", "depth"),
        ("deadline=+5;depth=1", "deadline"),
        ("deadline=600001;depth=1", "deadline"),
        ("deadline=5;depth=33", "depth"),
        ("deadline=5;depth=1;depth=2", "depth"),
        ("deadline=5;depth=1;allowance=-1", "allowance"),
        ("deadline=5;depth=1;call=+f", "call"),
        ("deadline=5;depth=1;call=11112222333344445", "call"),
        ("deadline=5;depth=1;tenant=", "tenant"),
        ("deadline=5;depth=1;tenant=a b", "tenant"),
        ("deadline=5;depth=1;home=addis,,bahir", "home"),
        ("deadline=5;depth=1;colour=red", "colour"),
        ("deadline=5;depth=1;", "header"),
    ];
    for (text, field) in faults {
        let error = text.parse::<CallContext>().unwrap_err();
        assert_eq!(error.field, field, "{text}");
        let message = error.to_string();
        assert!(message.contains(&format!("field `{field}`")), "{message}");
        assert!(message.contains("accepted: "), "{message}");
        assert_eq!(Refusal::from(error).status(), 400);
    }
    let long = format!("deadline=5;depth=1;home={}", "a,".repeat(2000));
    assert_eq!(long.parse::<CallContext>().unwrap_err().field, "header");
}

/// Guards against endless loops of calls, and against a child call with a later
/// deadline than its parent.
#[test]
fn child_context_is_deeper_with_no_later_deadline() {
    let mut context: CallContext = "deadline=50;depth=0;allowance=3".parse().unwrap();
    for depth in 1..=MAX_DEPTH {
        context = context.child_context(ms(80)).unwrap();
        assert_eq!((context.depth, context.deadline), (depth, ms(50)));
        assert!(context.is_in_retry());
    }
    let refused = context.child_context(ms(80)).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::Depth);
}

/// Guards against two reasons with the same text, and against a refusal whose
/// verdict is not "not run".
#[test]
fn refusal_reason_texts_are_unique() {
    for reason in RefusalReason::ALL {
        assert_eq!(RefusalReason::from_text(reason.as_str()), Some(reason));
        assert_eq!(Refusal::new(reason).verdict(), CallVerdict::NotRun);
        assert!((400..=599).contains(&reason.status()));
    }
}

proptest! {
    #![proptest_config(cases(256, 0x52))]

    /// Guards against fields of the context that are lost or changed when it is
    /// encoded and decoded.
    #[test]
    fn context_round_trips_through_text_and_message(
        deadline in 0_u64..=600_000,
        depth in 0..=MAX_DEPTH,
        allowance in prop::option::of(0_u32..=1_000_000),
        call in prop::option::of(any::<u64>()),
        tenant in "[a-z0-9._-]{0,16}",
        home in prop::collection::vec("[a-z0-9-]{1,8}", 0..4),
    ) {
        let context = CallContext {
            deadline: ms(deadline),
            depth,
            allowance,
            call,
            tenant: tenant.into(),
            home: home.into_iter().map(Into::into).collect(),
        };
        prop_assert_eq!(&context.to_string().parse::<CallContext>().unwrap(), &context);
        let message = context.to_message("00-trace");
        let read = CallContext::from_message(&message).unwrap();
        prop_assert_eq!(read, CallContext { call: None, ..context });
    }

    /// Guards against a caller's header that makes a daemon panic.
    #[test]
    fn arbitrary_context_never_panics(text in "(deadline|depth|home|call)?[=;,a-f0-9é]{0,40}") {
        if let Ok(context) = text.parse::<CallContext>() {
            prop_assert!(context.depth <= MAX_DEPTH);
        }
    }
}
