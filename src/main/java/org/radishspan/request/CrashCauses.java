package org.radishspan.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Decides which requests are refused because they crash targets, from the crashes recorded for their fingerprints.
 *
 * <p>The decision refuses as few requests as the records allow. Parts with the same crashes cannot be told apart, so only
 * requests with all of them are refused. Crashes that one cause explains do not count against another fingerprint. The decision
 * does not depend on the load.
 */
final class CrashCauses {

    /**
     * A cause of crashes.
     *
     * @param fingerprints a request that has all of these fingerprints crashes targets
     * @param targets the targets that such requests crashed
     */
    record Cause(Set<String> fingerprints, Set<String> targets) {}

    /**
     * The number of crashes that are sufficient evidence.
     *
     * @param ofRequest crashes by one request and its repetitions
     * @param ofPart crashes by several requests that share a part
     * @param ofAnsweredPart the same for a part of requests that targets have answered earlier
     */
    record MinCrashes(int ofRequest, int ofPart, int ofAnsweredPart) {}

    /** Targets that end within this time of each other may have failed together, as with their host or network. */
    static final long SAME_FAILURE_MILLIS = 250;

    private CrashCauses() {}

    /**
     * Returns the causes that explain the recorded crashes.
     *
     * @param crashes when targets crashed that had a request with the fingerprint, in milliseconds, by fingerprint and target
     * @param answered whether targets have answered requests with a part before the crashes
     */
    static List<Cause> of(Map<String, Map<String, Long>> crashes, Predicate<String> answered, MinCrashes minCrashes) {
        Map<String, Set<String>> targetsByFingerprint = new LinkedHashMap<>();
        Map<String, Long> crashedAtMillis = new HashMap<>();
        crashes.forEach((fingerprint, targets) -> {
            targetsByFingerprint.put(fingerprint, Set.copyOf(targets.keySet()));
            crashedAtMillis.putAll(targets);
        });
        Set<String> explained = new HashSet<>();
        List<Cause> causes = new ArrayList<>();
        List<Cause> candidates = partCandidates(targetsByFingerprint);
        for (Cause candidate : candidates) {
            Set<String> unexplained = without(candidate.targets(), explained);
            boolean allAnswered = candidate.fingerprints().stream().allMatch(answered);
            int required = allAnswered ? minCrashes.ofAnsweredPart() : minCrashes.ofPart();
            if (independentCrashes(unexplained, crashedAtMillis) >= required
                    && !hasEqualRival(candidate, unexplained, candidates, explained)) {
                causes.add(candidate);
                explained.addAll(candidate.targets());
            }
        }
        targetsByFingerprint.forEach((fingerprint, targets) -> {
            if (!Fingerprint.isPart(fingerprint) && without(targets, explained).size() >= minCrashes.ofRequest()) {
                causes.add(new Cause(Set.of(fingerprint), targets));
            }
        });
        return causes;
    }

    /** Counts the crashes of targets; those at the same moment count as one. */
    private static int independentCrashes(Set<String> targets, Map<String, Long> crashedAtMillis) {
        int count = 0;
        long lastMillis = 0;
        for (long atMillis : targets.stream()
                .map(crashedAtMillis::get)
                .filter(Objects::nonNull)
                .sorted()
                .toList()) {
            if (count == 0 || atMillis - lastMillis >= SAME_FAILURE_MILLIS) {
                count++;
                lastMillis = atMillis;
            }
        }
        return count;
    }

    /**
     * Groups the parts that have the same crashes, most crashes first. Parts whose crashes can all be attributed to a single
     * request and its repetitions are left out, because nothing shows that other requests with them crash targets.
     */
    private static List<Cause> partCandidates(Map<String, Set<String>> targetsByFingerprint) {
        Map<Set<String>, Set<String>> groups = new LinkedHashMap<>();
        targetsByFingerprint.forEach((fingerprint, targets) -> {
            if (Fingerprint.isPart(fingerprint)) {
                groups.computeIfAbsent(targets, ignored -> new TreeSet<>()).add(fingerprint);
            }
        });
        List<Cause> candidates = new ArrayList<>();
        groups.forEach((targets, parts) -> {
            boolean ofOneRequest = targetsByFingerprint.entrySet().stream()
                    .anyMatch(entry -> !Fingerprint.isPart(entry.getKey())
                            && entry.getValue().containsAll(targets));
            if (!ofOneRequest) {
                candidates.add(new Cause(parts, targets));
            }
        });
        candidates.sort(
                Comparator.comparingInt((Cause cause) -> -cause.targets().size()));
        return candidates;
    }

    /** Returns whether another candidate explains as many crashes and some of the same ones, so that more are needed. */
    private static boolean hasEqualRival(
            Cause candidate, Set<String> unexplained, List<Cause> candidates, Set<String> explained) {
        for (Cause other : candidates) {
            Set<String> ofOther = without(other.targets(), explained);
            if (!other.equals(candidate)
                    && ofOther.size() == unexplained.size()
                    && ofOther.stream().anyMatch(unexplained::contains)) {
                return true;
            }
        }
        return false;
    }

    private static Set<String> without(Set<String> targets, Set<String> explained) {
        Set<String> rest = new HashSet<>(targets);
        rest.removeAll(explained);
        return rest;
    }
}
