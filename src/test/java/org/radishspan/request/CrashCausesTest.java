package org.radishspan.request;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests which requests are refused, given the crashes that are recorded for their fingerprints. */
public class CrashCausesTest {
    private static final String TEMPLATE = Fingerprint.ofPart("s", "template");
    private static final String DOCUMENT = Fingerprint.ofPart("s", "document");
    private static final String CRASHING = Fingerprint.ofPart("s", "crashing");
    private static final String REQUEST = "request";

    /** Returns the causes of crashes, of which {@code tN} happened in second N, of parts that were never answered. */
    private static List<Set<String>> causes(Map<String, Set<String>> targetsByFingerprint) {
        return causes(targetsByFingerprint, 1_000, Set.of());
    }

    private static List<Set<String>> causes(
            Map<String, Set<String>> targetsByFingerprint, long intervalMillis, Set<String> answered) {
        Map<String, Map<String, Long>> crashes = new TreeMap<>();
        targetsByFingerprint.forEach((fingerprint, targets) -> {
            Map<String, Long> atMillis = new TreeMap<>();
            targets.forEach(target -> atMillis.put(target, intervalMillis * Long.parseLong(target.substring(1))));
            crashes.put(fingerprint, atMillis);
        });
        return CrashCauses.of(crashes, answered::contains, new CrashCauses.MinCrashes(3, 2, 3)).stream()
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
        public void areNoCauseOfTargetsThatFailTogether() {
            Map<String, Set<String>> crashes = Map.of(CRASHING, Set.of("t1", "t2", "t3"));
            assertEquals(causes(crashes, 100, Set.of()), List.of());
            assertEquals(causes(crashes, 125, Set.of()), List.of(Set.of(CRASHING)));
        }

        @Test
        public void ofRequestsThatWereAnsweredBeforeNeedAThirdCrash() {
            Set<String> answered = Set.of(TEMPLATE, DOCUMENT);
            assertEquals(causes(Map.of(TEMPLATE, Set.of("t1", "t2")), 1_000, answered), List.of());
            assertEquals(
                    causes(Map.of(TEMPLATE, Set.of("t1", "t2", "t3")), 1_000, answered), List.of(Set.of(TEMPLATE)));
            assertEquals(
                    causes(Map.of(TEMPLATE, Set.of("t1", "t2"), CRASHING, Set.of("t1", "t2")), 1_000, answered),
                    List.of(Set.of(TEMPLATE, CRASHING)));
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
