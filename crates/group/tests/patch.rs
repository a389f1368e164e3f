//! Checks that a patch leads to exactly the new text, is small for the changes that
//! operators make, and never applies to another text.

use bamboospur_group::{Document, Patch};
use bamboospur_types::mix64;
use quickcheck::quickcheck;

fn route(number: u64) -> String {
    let (host, prefix) = (mix64(number) % 1_000_000, mix64(number + 1_000) % 1_000_000);
    format!(
        "{{\"name\":\"r-{number}\",\"host\":\"h{host}.example\",\"pathPrefix\":\"/p{prefix}/\",\
         \"type\":\"idempotent\",\"timeoutMs\":1000,\"sloMs\":150,\"priority\":2,\
         \"service\":\"records\",\"maxAttempts\":2,\"public\":false}}"
    )
}

fn config(version: u64, routes: impl Iterator<Item = u64>) -> String {
    let routes: Vec<String> = routes.map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
}

/// Returns the size of the patch between two texts as a share of the new document.
fn relative_size(base: &str, new: &str) -> f64 {
    let (base, new) = (
        Document::new(1, base.as_bytes()),
        Document::new(2, new.as_bytes()),
    );
    let Some(patch) = new.patch_from(&base) else {
        return 1.0;
    };
    assert_eq!(base.patched(&patch), Some(new.clone()));
    let encoded = postcard::to_stdvec(&patch).expect("an encoded patch");
    #[expect(clippy::cast_precision_loss, reason = "the sizes are small")]
    let share = encoded.len() as f64 / new.size_bytes() as f64;
    share
}

#[test]
fn a_change_of_one_route_costs_a_hundredth_of_a_large_document() {
    let base = config(1, 0..1_400);
    let new = config(2, 0..1_400).replacen("\"timeoutMs\":1000", "\"timeoutMs\":2500", 1);
    assert!(relative_size(&base, &new) < 0.01);
    let moved = config(3, 0..1_400).replace("\"name\":\"r-700\"", "\"name\":\"s-700\"");
    assert!(relative_size(&base, &moved) < 0.01);
}

#[test]
fn added_and_removed_routes_cost_their_own_size() {
    let base = config(1, 0..1_400);
    assert!(relative_size(&base, &config(2, 0..1_410)) < 0.02);
    assert!(relative_size(&base, &config(2, (0..600).chain(603..1_400))) < 0.01);
    assert!(relative_size(&base, &config(2, (1_000..1_400).chain(0..1_000))) < 0.01);
}

#[test]
fn unrelated_documents_have_no_patch() {
    let base = Document::new(1, config(1, 0..5).as_bytes());
    let new = Document::new(2, config(2, 100_000..100_400).as_bytes());
    assert_eq!(new.patch_from(&base), None);
    assert_eq!(base.patch_from(&Document::default()), None);
}

#[test]
fn a_patch_applies_to_its_own_base_only() {
    let base = Document::new(1, config(1, 0..100).as_bytes());
    let new = Document::new(2, config(2, 0..101).as_bytes());
    let patch = new.patch_from(&base).expect("a patch");
    let same_version = Document::new(1, config(1, 0..99).as_bytes());
    assert_eq!(same_version.patched(&patch), None);
    let other_version = Document::new(4, config(1, 0..100).as_bytes());
    assert_eq!(other_version.patched(&patch), None);
}

quickcheck! {
    fn a_patch_leads_to_the_new_text(seed: Vec<u8>, edits: Vec<(usize, usize, Vec<u8>)>) -> bool {
        let base: Vec<u8> = seed.iter().flat_map(|&byte| [byte % 3; 7]).collect();
        let mut new = base.repeat(20);
        for (at, length, text) in edits {
            let start = at % (new.len() + 1);
            let end = (start + length % 50).min(new.len());
            new.splice(start..end, text);
        }
        let base = base.repeat(20);
        let patch = Patch::between((1, &base), (2, &new)).expect("a patch");
        patch.apply(&base) == Some(new)
    }

    fn arbitrary_bytes_are_no_patch(bytes: Vec<u8>) -> bool {
        let patch = postcard::from_bytes::<Patch>(&bytes).ok();
        patch.and_then(|patch| patch.apply(b"some text")).is_none()
    }

    fn a_damaged_patch_does_not_apply(index: usize, flip: u8) -> bool {
        let base = config(1, 0..40);
        let new = config(2, 0..42);
        let patch = Patch::between((1, base.as_bytes()), (2, new.as_bytes())).expect("a patch");
        let mut bytes = postcard::to_stdvec(&patch).expect("an encoded patch");
        let index = index % bytes.len();
        bytes[index] ^= flip | 1;
        let damaged = postcard::from_bytes::<Patch>(&bytes).ok();
        let text = damaged.and_then(|patch| patch.apply(base.as_bytes()));
        // The versions are not part of the text.
        text.is_none_or(|text| text == new.as_bytes())
    }
}
