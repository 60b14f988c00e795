package org.radishspan.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

/** Checks which target {@link Placement} chooses, and when {@link TargetTable} excludes a target. */
public class PlacementTest {
    private static final int TARGETS = 13;
    private static final long NOW_MILLIS = 5_000;

    private TargetTable table = new TargetTable();
    private Placement placement = new Placement(RandomSource.XO_SHI_RO_256_PP.create(1));

    @BeforeMethod
    public void createTargets() {
        table = new TargetTable();
        placement = new Placement(RandomSource.XO_SHI_RO_256_PP.create(1));
        for (int i = 0; i < TARGETS; i++) {
            Address address = new Address("10.0.0." + i, 80);
            table.register(new TargetEntry("t" + i, "llm", address, i % 2 == 0 ? "a" : "b", 64, false, 1));
        }
    }

    private Target target(String name) {
        return Objects.requireNonNull(table.get(name), name);
    }

    private List<Target> candidates() {
        return table.candidates("llm", Set.of(), 0);
    }

    private static PromptShape prompt(String subject, long ownTokens) {
        return new PromptShape(
                subject, List.of("system", subject, "own-" + ownTokens), List.of(2_500L, 3_800L, ownTokens));
    }

    private Target choose(PromptShape prompt) {
        return placement
                .choose(candidates(), prompt, 0, NOW_MILLIS)
                .orElseThrow()
                .target();
    }

    @Test
    public void promptsWithOneSharedPartGoToTheSameTargetFromEveryRouter() {
        Target first = choose(prompt("subject", 700));
        Placement otherRouter = new Placement(RandomSource.XO_SHI_RO_256_PP.create(2));
        assertSame(
                otherRouter
                        .choose(candidates(), prompt("subject", 900), 0, NOW_MILLIS)
                        .orElseThrow()
                        .target(),
                first);
    }

    @Test
    public void sharedPartsSpreadOverTheTargets() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 1_300; i++) {
            counts.merge(choose(prompt("subject-" + i, 700)).name(), 1, Integer::sum);
        }
        assertEquals(counts.size(), TARGETS);
        assertTrue(counts.values().stream().allMatch(count -> count < 200), counts.toString());
    }

    @Test
    public void aTargetWithManyPendingPromptTokensIsNotChosen() {
        Target preferred = choose(prompt("subject", 700));
        table.addPendingPrompt(preferred, 20_000);
        assertNotEquals(choose(prompt("subject", 700)).name(), preferred.name());
        table.removePendingPrompt(preferred, 20_000);
        assertSame(choose(prompt("subject", 700)), preferred);
    }

    @Test
    public void promptsOfOtherRoutersCountUntilTheTargetHadTimeToReadThem() {
        Target preferred = choose(prompt("subject", 700));
        table.addPeerPrompt(preferred, 20_000, NOW_MILLIS);
        assertNotEquals(choose(prompt("subject", 700)).name(), preferred.name());
        assertSame(
                placement
                        .choose(candidates(), prompt("subject", 700), 0, NOW_MILLIS + 700)
                        .orElseThrow()
                        .target(),
                preferred);
    }

    @Test
    public void cachedPartsFavourATarget() {
        Target preferred = choose(prompt("subject", 700));
        table.addPendingPrompt(preferred, 20_000);
        Target second = choose(prompt("subject", 700));
        second.cachedParts().onRead(List.of("system", "subject", "own-700"));
        Placement.Choice choice = placement
                .choose(candidates(), prompt("subject", 700), 0, NOW_MILLIS)
                .orElseThrow();
        assertSame(choice.target(), second);
        assertEquals(choice.uncachedTokens(), 0);
    }

    @Test
    public void aRequestWithoutAPromptGoesToTheLeastLoadedTarget() {
        for (Target target : table.rows()) {
            table.onLoad(target, target.name().equals("t4") ? 0 : 3, 0);
        }
        assertEquals(
                placement
                        .choose(candidates(), "a", NOW_MILLIS)
                        .orElseThrow()
                        .target()
                        .name(),
                "t4");
    }

    @Test
    public void drainingAndRemovedTargetsGetNoRequests() {
        table.register(new TargetEntry("t0", "llm", new Address("10.0.0.0", 80), "a", 64, true, 1));
        table.deregister("t1");
        assertEquals(candidates().size(), TARGETS - 2);
    }

    @Test
    public void anotherIncarnationStartsWithAnEmptyRow() {
        Target before = target("t2");
        table.addPendingPrompt(before, 5_000);
        Target after = table.register(new TargetEntry("t2", "llm", new Address("10.0.0.2", 80), "a", 64, false, 2));
        assertEquals(after.pendingPromptTokens(), 0);
    }

    @Test
    public void unreachableTargetsAreExcludedForIncreasingTimes() {
        Target target = target("t3");
        table.onUnreachable(target, 0);
        assertEquals(table.candidates("llm", Set.of(), 299).size(), TARGETS - 1);
        assertEquals(table.candidates("llm", Set.of(), 300).size(), TARGETS);
        table.onUnreachable(target, 300);
        assertEquals(table.candidates("llm", Set.of(), 800).size(), TARGETS - 1);
        assertEquals(table.candidates("llm", Set.of(), 900).size(), TARGETS);
    }
}
