package org.radishspan.routing;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Which targets may be sent new work, by what they say of themselves. */
public class TargetTableTest {
    private static final long BORN = 1_700_000_000_000L;

    private static TargetEntry entry(String name, long startedAtUnixMillis) {
        return new TargetEntry(name, "s", new Address("10.0.0.1", 80), "a", 6, false, startedAtUnixMillis);
    }

    private static TargetTable table(String... names) {
        TargetTable table = new TargetTable();
        for (String name : names) {
            table.register(entry(name, BORN));
        }
        return table;
    }

    private static Target target(TargetTable table, String name) {
        return Objects.requireNonNull(table.get(name), name);
    }

    private static List<String> usable(TargetTable table, long nowMillis) {
        return table.candidates("s", Set.of(), nowMillis).stream()
                .map(Target::name)
                .sorted()
                .toList();
    }

    /** Targets that said that they are leaving. */
    public static class Leaving {
        @Test
        public void staySoWhateverTheListSays() {
            TargetTable table = table("t", "u");
            assertTrue(table.onLeavingSaid(target(table, "t")));
            assertFalse(table.onLeavingSaid(target(table, "t")), "known already");
            table.register(entry("t", BORN));
            assertEquals(usable(table, 0), List.of("u"));
            assertEquals(table.lastResorts("s", Set.of(), 0).size(), 1, "not even as a last resort");
        }

        @Test
        public void staySoWhenTheirEntryLapsesAndComesBack() {
            TargetTable table = table("t", "u");
            table.onLeavingSaid(target(table, "t"));
            table.deregister("t");
            table.register(entry("t", BORN));
            assertEquals(usable(table, 0), List.of("u"));
        }

        @Test
        public void areForgottenWithTheNextIncarnationOfTheName() {
            TargetTable table = table("t");
            table.onLeavingSaid(target(table, "t"));
            table.register(entry("t", BORN + 1));
            assertEquals(usable(table, 0), List.of("t"));
        }

        @Test
        public void toldByAPeerAreALastResort() {
            TargetTable table = table("t", "u");
            table.onLeavingHeard("t", BORN);
            assertEquals(usable(table, 0), List.of("u"));
            assertEquals(table.lastResorts("s", Set.of("u"), 0).size(), 1);
        }

        @Test
        public void toldByAPeerAboutAnEarlierIncarnationCountNothing() {
            TargetTable table = table("t");
            table.onLeavingHeard("t", BORN - 1);
            assertEquals(usable(table, 0), List.of("t"));
        }

        @Test
        public void toldByAPeerBeforeTheirEntryIsSeenCount() {
            TargetTable table = table("u");
            table.onLeavingHeard("t", BORN);
            table.register(entry("t", BORN));
            assertEquals(usable(table, 0), List.of("u"));
        }
    }

    /** Targets that asked for a pause. */
    public static class Paused {
        @Test
        public void getNothingUntilItIsOver() {
            TargetTable table = table("t", "u");
            table.onPauseAsked(target(table, "t"), 2_500, 1_000);
            assertEquals(usable(table, 3_499), List.of("u"));
            assertEquals(table.lastResorts("s", Set.of("u"), 3_499), List.of());
            assertEquals(usable(table, 3_500), List.of("t", "u"));
        }

        @Test
        public void mayNotBeAskedSoonerBecauseOfAShorterOne() {
            TargetTable table = table("t");
            table.onPauseAsked(target(table, "t"), 2_500, 1_000);
            table.onPauseAsked(target(table, "t"), 100, 1_200);
            assertEquals(usable(table, 3_400), List.of());
        }

        @Test
        public void keepItOverAFreshList() {
            TargetTable table = table("t");
            table.onPauseAsked(target(table, "t"), 2_500, 1_000);
            table.register(entry("t", BORN));
            assertEquals(usable(table, 3_400), List.of());
            table.register(entry("t", BORN + 1));
            assertEquals(usable(table, 3_400), List.of("t"), "another incarnation has asked for nothing");
        }

        @Test
        public void keepItWhenTheirEntryLapsesAndComesBack() {
            TargetTable table = table("t");
            table.onPauseAsked(target(table, "t"), 2_500, 1_000);
            table.deregister("t");
            table.register(entry("t", BORN));
            assertEquals(usable(table, 3_400), List.of());
            assertEquals(usable(table, 3_500), List.of("t"));
        }

        @Test
        public void tellWhenTheFirstOfThemIsBack() {
            TargetTable table = table("t", "u", "v");
            table.onPauseAsked(target(table, "t"), 2_500, 1_000);
            assertEquals(table.waitMillis("s", 1_000), OptionalLong.empty(), "others take work");
            table.onPauseAsked(target(table, "u"), 800, 1_000);
            table.onLeavingSaid(target(table, "v"));
            assertEquals(table.waitMillis("s", 1_300), OptionalLong.of(500));
            assertEquals(table.waitMillis("s", 1_800), OptionalLong.empty());
        }
    }
}
