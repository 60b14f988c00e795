package org.radishspan.explain;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** From a request's id to what decided its outcome. */
public class ExplanationTest {
    private static final String REFUSED = """
            {"time_ms":900,"event":"dependency_lost","dependency":"store","kind":"config","reason":"silent for 2600 ms"}
            {"time_ms":1000,"event":"no_tokens","request":"a1","budget":"deka","tokens":1140,"ledger":"platform_unavailable",\
            "ledger_silent_ms":1060,"unspent_tokens":213403,"used_up":false,"share_available":192}
            {"time_ms":1000,"event":"request_failed","request":"a1","kind":"platform_unavailable","reason":"too few",\
            "ran":"no","sends":0}
            {"time_ms":1100,"event":"request_answered","request":"b2","elapsed_ms":70,"sends":1}
            """;
    private static final String BROKEN = """
            12.4 vm-2 {"time_ms":1000,"event":"request_sent","request":"c3","send":1,"target":"t-1"}
            12.5 vm-2 {"time_ms":1120,"event":"attempt_failed","request":"c3","trouble":"broken","reason":"reset","target":"t-1"}
            12.5 vm-2 {"time_ms":1120,"event":"request_failed","request":"c3","kind":"target_failed","reason":"reset","ran":"unknown"}
            12.6 vm-2 {"time_ms":11
            """;
    private static final String OTHER = """
            {"time_ms":1050,"event":"target_gone","target":"t-1"}
            {"time_ms":1060,"event":"target_gone","target":"t-9"}
            """;

    private static Explanation explain(String request, String... logs) {
        Map<String, List<String>> named = new LinkedHashMap<>();
        for (int i = 0; i < logs.length; i++) {
            named.put("log-" + i, logs[i].lines().toList());
        }
        return Explanation.of(request, named).orElseThrow();
    }

    private static String printed(Explanation explanation) {
        StringWriter text = new StringWriter();
        explanation.print(new PrintWriter(text, true));
        return text.toString();
    }

    @Test
    public void aRefusalForWantOfTokensNamesTheSilentLedger() {
        String cause = explain("a1", REFUSED).cause();
        assertEquals(
                cause,
                "budget deka: 1140 tokens needed, this router had 192 of 213403 unspent ones; the ledger had not answered"
                        + " for 1060 ms");
    }

    @Test
    public void aBrokenAttemptNamesTargetReasonAndWhetherItRan() {
        assertEquals(explain("c3", BROKEN).cause(), "target_failed: reset (ran: unknown); attempts: t-1: reset");
    }

    @Test
    public void linesOfOtherRoutersAboutTheSameTargetAreJoinedInOrder() {
        String text = printed(explain("c3", BROKEN, OTHER));
        assertTrue(text.contains("their clocks may differ"), text);
        assertTrue(text.contains("t-1"), text);
        assertTrue(!text.contains("t-9"), text);
        assertTrue(text.indexOf("request_sent") < text.indexOf("target_gone"), text);
        assertTrue(text.indexOf("target_gone") < text.indexOf("request_failed"), text);
    }

    @Test
    public void lostDependenciesOfTheRouterAreShown() {
        assertTrue(printed(explain("a1", REFUSED)).contains("dependency_lost"));
    }

    @Test
    public void theOrderWithinALogHoldsWhereItsClockStepsBack() {
        String stepped = BROKEN.replace("\"time_ms\":1120", "\"time_ms\":400");
        String text = printed(explain("c3", stepped, OTHER));
        assertTrue(text.indexOf("request_sent") < text.indexOf("attempt_failed"), text);
    }

    @Test
    public void anUnknownRequestHasNone() {
        assertTrue(Explanation.of("zz", Map.of("log", REFUSED.lines().toList())).isEmpty());
    }
}
