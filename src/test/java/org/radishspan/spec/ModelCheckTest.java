package org.radishspan.spec;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/**
 * Checks the TLA+ specifications of the core protocol and of spending bounds exhaustively for small configurations.
 *
 * <p>Each specification can also be run with a seeded fault, which the model checker must report as a violated invariant.
 */
public class ModelCheckTest {
    private static final String MODULE = "Radishspan";
    private static final int NO_ERROR = 0;
    private static final int INVARIANT_VIOLATED = 2_110;
    private static final String INVARIANTS = "GrantsWithinLimit TopUpsCountOnce AnswersWithinLimit "
            + "DispatchedWithinLimit BilledAtMostOnce BilledExactlyOnce RunsAtMostOnce NotRunStaysTrue";

    @DataProvider
    public Object[][] configurations() {
        return new Object[][] {
            {"{r1, r2}", "{}", "fenced"},
            {"{r1, r2}", "{}", "operator"},
            {"{}", "{k1}", "fenced"},
            {"{}", "{k1}", "operator"},
        };
    }

    @Test(dataProvider = "configurations")
    public void theProtocolKeepsItsInvariants(String plain, String keyed, String reclaim) throws Exception {
        assertEquals(check(plain, keyed, reclaim, "none"), NO_ERROR);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"grantNotAwaited", "{r1, r2}", "{}"},
            {"billNotDeduplicated", "{r1, r2}", "{}"},
            {"blindRetry", "{r1}", "{}"},
            {"reclaimOnTimer", "{r1, r2}", "{}"},
            {"intentAfterDispatch", "{}", "{k1}"},
            {"notRunAfterDispatch", "{}", "{k1}"},
        };
    }

    @Test(dataProvider = "faults")
    public void theCheckerFindsASeededFault(String fault, String plain, String keyed) throws Exception {
        int result = check(plain, keyed, "fenced", fault);
        assertNotEquals(result, NO_ERROR);
        assertEquals(result, INVARIANT_VIOLATED);
    }

    @Test
    public void spentTokensAreNeverFreedAgain() throws Exception {
        assertEquals(checkBounds("none"), NO_ERROR);
    }

    @DataProvider
    public Object[][] boundFaults() {
        return new Object[][] {
            {"timeOfRepeat"},
            {"olderBoundWins"},
            {"equalTimeReplaces"},
            {"unansweredIgnored"},
            {"ageNotChecked"},
            {"bootNotChecked"}
        };
    }

    @Test(dataProvider = "boundFaults")
    public void theCheckerFindsAFaultOfSpendingBounds(String fault) throws Exception {
        assertEquals(checkBounds(fault), INVARIANT_VIOLATED);
    }

    private static int check(String plain, String keyed, String reclaim, String fault) throws Exception {
        return check(MODULE, configuration(plain, keyed, reclaim, fault));
    }

    private static int checkBounds(String fault) throws Exception {
        return check(
                "SpendingBounds",
                String.join(
                        "\n",
                        "SPECIFICATION Spec",
                        "CONSTANTS",
                        "  Granted = 2",
                        "  Valid = 2",
                        "  LastTick = 4",
                        "  MostBounds = 3",
                        "  Fault = \"" + fault + "\"",
                        "INVARIANTS SpentIsCounted",
                        "CHECK_DEADLOCK FALSE",
                        ""));
    }

    private static int check(String name, String configuration) throws Exception {
        Path folder = Files.createTempDirectory("radishspan-spec");
        Path module = folder.resolve(name + ".tla");
        try (InputStream text = Objects.requireNonNull(
                ModelCheckTest.class.getResourceAsStream("/spec/" + name + ".tla"), "specification")) {
            Files.copy(text, module);
        }
        Files.writeString(folder.resolve(name + ".cfg"), configuration, UTF_8);
        return runChecker(folder, module);
    }

    private static String configuration(String plain, String keyed, String reclaim, String fault) {
        return String.join(
                "\n",
                "SPECIFICATION Spec",
                "SYMMETRY Symmetry",
                "CONSTANTS",
                "  Processes = {p1, p2}",
                "  Plain = " + plain,
                "  Keyed = " + keyed,
                "  InitialLimit = 1",
                "  Reclaim = \"" + reclaim + "\"",
                "  Fault = \"" + fault + "\"",
                "INVARIANTS " + INVARIANTS,
                "CHECK_DEADLOCK FALSE",
                "");
    }

    /** Runs the model checker in a new class loader, because it keeps its state in static fields; returns its exit code. */
    private static int runChecker(Path folder, Path module) throws IOException, ReflectiveOperationException {
        URL library =
                Class.forName("tlc2.TLC").getProtectionDomain().getCodeSource().getLocation();
        PrintStream standardOut = System.out;
        try (URLClassLoader loader = new URLClassLoader(new URL[] {library}, ClassLoader.getPlatformClassLoader());
                PrintStream log = new PrintStream(Files.newOutputStream(folder.resolve("log.txt")), true, UTF_8)) {
            System.setOut(log);
            Class<?> type = loader.loadClass("tlc2.TLC");
            Object checker = type.getConstructor().newInstance();
            String[] arguments = {
                "-workers", "2", "-metadir", folder.resolve("states").toString(), module.toString()
            };
            Object accepted = type.getMethod("handleParameters", String[].class).invoke(checker, (Object) arguments);
            assertEquals(accepted, true, "the model checker rejected its arguments");
            return (int) type.getMethod("process").invoke(checker);
        } catch (InvocationTargetException e) {
            throw new IllegalStateException("the model checker threw an exception", e.getCause());
        } finally {
            System.setOut(standardOut);
        }
    }
}
