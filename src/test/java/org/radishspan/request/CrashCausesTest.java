package org.radishspan.request;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests which requests are refused, given the crashes that are recorded for their fingerprints. */
public class CrashCausesTest {
    private static final String TEMPLATE = Fingerprint.ofPart("s", "template");
    private static final String DOCUMENT = Fingerprint.ofPart("s", "document");
    private static final String CRASHING = Fingerprint.ofPart("s", "crashing");
    private static final String REQUEST = "request";

    private static List<Set<String>> causes(Map<String, Set<String>> targetsByFingerprint) {
        return CrashCauses.of(targetsByFingerprint, new CrashCauses.MinCrashes(3, 2)).stream()
                .map(CrashCauses.Cause::fingerprints)
                .toList();
    }

    /** Crashes that one part explains. */
    public static class Parts {
        @Test
        public void areACauseFromTheSecondCrashOn() {
            assertEquals(causes(Map.of(CRASHING, Set.of("t1"))), List.of());
            assertEquals(causes(Map.of(CRASHING, Set.of("t1", "t2"))), List.of(Set.of(CRASHING)));
        }

        @Test
        public void withFewerCrashesAreExplainedByTheOneWithMost() {
            assertEquals(
                    causes(Map.of(CRASHING, Set.of("t1", "t2", "t3"), TEMPLATE, Set.of("t1", "t3"))),
                    List.of(Set.of(CRASHING)));
        }

        @Test
        public void withTheSameCrashesAreACauseOnlyTogether() {
            assertEquals(
                    causes(Map.of(
                            CRASHING, Set.of("t1", "t2"), DOCUMENT, Set.of("t1", "t2"), TEMPLATE, Set.of("t1", "t2"))),
                    List.of(Set.of(TEMPLATE, DOCUMENT, CRASHING)));
        }

        @Test
        public void ofWhichEitherMayBeTheCauseWaitForTheNextCrash() {
            assertEquals(causes(Map.of(CRASHING, Set.of("t1", "t2"), DOCUMENT, Set.of("t1", "t3"))), List.of());
            assertEquals(
                    causes(Map.of(CRASHING, Set.of("t1", "t2", "t4"), DOCUMENT, Set.of("t1", "t3"))),
                    List.of(Set.of(CRASHING)));
        }

        @Test
        public void ofDifferentCrashesAreAllCauses() {
            assertEquals(
                    Set.copyOf(causes(Map.of(CRASHING, Set.of("t1", "t2", "t5"), DOCUMENT, Set.of("t3", "t4")))),
                    Set.of(Set.of(CRASHING), Set.of(DOCUMENT)));
        }
    }

    /** Crashes by a request that its caller repeats. */
    public static class RepeatedRequests {
        @Test
        public void areRefusedAloneWithoutOthersThatShareTheirParts() {
            Set<String> targets = Set.of("t1", "t2", "t3");
            assertEquals(causes(Map.of(REQUEST, targets, CRASHING, targets)), List.of(Set.of(REQUEST)));
        }

        @Test
        public void areRefusedWithAllThatShareAPartOnceAnotherRequestCrashedATarget() {
            assertEquals(
                    causes(Map.of(REQUEST, Set.of("t1", "t2"), CRASHING, Set.of("t1", "t2", "t3"))),
                    List.of(Set.of(CRASHING)));
        }

        @Test
        public void thatOnlyRanBesideTheCauseAreNotRefused() {
            Set<String> targets = Set.of("t1", "t2", "t3");
            assertEquals(
                    causes(Map.of(REQUEST, targets, CRASHING, Set.of("t1", "t2", "t3", "t4"))),
                    List.of(Set.of(CRASHING)));
        }
    }
}
