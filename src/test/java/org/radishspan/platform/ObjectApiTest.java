package org.radishspan.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.deployment.Address;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.StoreEra;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests how answers of the platform's object API are read. */
public class ObjectApiTest {
    private static final class Harness {
        private final Deque<HttpTransport.Listener> calls = new ArrayDeque<>();
        private final List<String> paths = new ArrayList<>();
        private final StoreEra storeEra = new StoreEra();
        private final ObjectApi api = new ObjectApi(this::send, new Address("10.9.9.9", 80), storeEra);
        private final List<Either<Failure, ObjectKinds.Page>> pages = new ArrayList<>();

        private HttpTransport.Call send(HttpTransport.Request request, HttpTransport.Listener listener) {
            calls.add(listener);
            paths.add(request.path());
            return new HttpTransport.Call() {
                @Override
                public void cancel() {}

                @Override
                public void setPaused(boolean paused) {}
            };
        }

        private void list() {
            api.list("servers", "", pages::add);
        }

        private void answer(@Nullable String era, int status, String body) {
            HttpTransport.Listener listener = calls.remove();
            Map<String, String> headers = era == null ? Map.of() : Map.of("Store-Era", era);
            listener.onHead(status, headers::get);
            listener.onBody(body.getBytes(UTF_8));
            listener.onEnd();
        }
    }

    /** Tests the era that the store names in its answers. */
    public static class Eras {
        private static final String EMPTY_LIST = "{\"entries\":[],\"has_more\":false,\"current_rev\":7}";

        @Test
        public void areTakenFromEveryAnswer() {
            Harness test = new Harness();
            test.list();
            test.answer("3", 503, "");
            assertEquals(test.storeEra.current(), 3);
            assertTrue(test.pages.get(0).isLeft());
        }

        /** An answer that was under way when the store came back describes objects that no longer exist. */
        @Test
        public void ofAnEarlierAnswerMakeItInvalid() {
            Harness test = new Harness();
            test.list();
            test.list();
            test.answer("4", 200, EMPTY_LIST);
            test.answer("3", 200, EMPTY_LIST);
            assertTrue(test.pages.get(0).isRight());
            assertTrue(test.pages.get(1).isLeft());
            assertEquals(test.storeEra.current(), 4);
        }

        @Test
        public void thatAreMissingOrUnreadableChangeNothing() {
            Harness test = new Harness();
            for (String era : new String[] {null, "", "x", "-1", "99999999999999999999"}) {
                test.list();
                test.answer(era, 200, EMPTY_LIST);
            }
            assertTrue(test.pages.stream().allMatch(Either::isRight));
            assertEquals(test.storeEra.current(), StoreEra.UNKNOWN);
        }

        @Test
        public void beginWithZero() {
            Harness test = new Harness();
            test.list();
            test.answer("0", 200, EMPTY_LIST);
            assertEquals(test.storeEra.current(), 0);
        }
    }

    /** Tests entries that another writer left among those of the targets. */
    public static class OddEntries {
        private static final String SOUND = "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,"
                + "\"state\":\"ready\",\"born\":1";

        private static String nested(int levels) {
            return "[".repeat(levels) + "]".repeat(levels);
        }

        private static String object(String name, String content) {
            return "{\"metadata\":{\"name\":" + name + ",\"revision\":3},\"spec\":" + content + ",\"status\":null}";
        }

        @DataProvider
        public Object[][] contents() {
            return new Object[][] {
                {"{" + SOUND + ",\"odd\":" + nested(100) + "}"},
                {"{" + SOUND + ",\"odd\":" + nested(900) + "}"},
                {"{" + SOUND + ",\"odd\":" + nested(400_000) + "}"},
                {nested(100)},
                {"{\"a\":".repeat(2_000) + "1" + "}".repeat(2_000)},
                {"{" + SOUND.replace(":4,", ":" + "9".repeat(1_500) + ",") + "}"},
                {"{" + SOUND.replace(":4,", ":1e999999999,") + "}"},
                {"{" + SOUND.replace("\"born\":1", "\"born\":" + "1".repeat(100_000)) + "}"},
                {"{" + SOUND.replace(":80", ":70000") + "}"},
                {"{" + SOUND.replace(":80", ":99999999999999999999") + "}"},
                {"{" + SOUND.replace("10.0.0.1", "no.such.host") + "}"},
                {"{" + SOUND.replace("10.0.0.1", "10.0.0.1\\u0000") + "}"},
                {"{\"" + "k".repeat(60_000) + "\":1}"},
                {"{" + SOUND.replace("\"ready\"", "null") + "}"},
                {"{" + SOUND.replace("\"ready\"", "tru") + "}"},
                {"{" + SOUND.replace("\"ready\"", "\"\\ud800\\x\"") + "}"},
                {"\"text\""},
                {"null"},
            };
        }

        private static List<String> decodable(Either<Failure, ObjectKinds.Page> page) {
            return page.get().entries().stream()
                    .filter(entry -> TargetCodec.decode(entry.content()).isPresent())
                    .map(ObjectKinds.Entry::name)
                    .toList();
        }

        /** The parser's limits failed the whole answer, and no router knew any target any more. */
        @Test(dataProvider = "contents")
        public void areSkippedInAList(String content) {
            Harness test = new Harness();
            test.list();
            test.answer(
                    null,
                    200,
                    "{\"entries\":[" + object("\"a\"", "{" + SOUND + "}") + ", "
                            + object("\"odd\"", content) + " ," + object("\"z\"", "{" + SOUND + "}")
                            + "],\"has_more\":false,\"current_rev\":7}");
            assertEquals(decodable(test.pages.get(0)), List.of("a", "z"));
            assertEquals(test.pages.get(0).get().entries().get(1).name(), "odd", "the log names it");
            assertEquals(test.pages.get(0).get().revision(), 7);
            assertTrue(test.pages.get(0).get().complete());
        }

        @Test(dataProvider = "contents")
        public void areSkippedInTheAnswerToAWatch(String content) {
            Harness test = new Harness();
            List<Either<Failure, ObjectKinds.Changes>> answers = new ArrayList<>();
            test.api.watch("servers", 6, 1_000, answers::add);
            test.answer(
                    null,
                    200,
                    "{\"events\":[{\"deleted\":false,\"object\":" + object("\"odd\"", content) + "},{\"object\":"
                            + object("\"z\"", "{" + SOUND + "}") + ",\"deleted\":true}],\"current_rev\":9}");
            ObjectKinds.Changes changes = answers.get(0).get();
            assertEquals(changes.revision(), 9);
            assertEquals(changes.changes().get(0).entry().name(), "odd");
            assertTrue(TargetCodec.decode(changes.changes().get(0).entry().content())
                    .isEmpty());
            assertTrue(changes.changes().get(1).deleted());
        }

        /** A target's name is sent in a header of each request. */
        @Test
        public void areSkippedIfTheirNamesCannotBeSent() {
            for (String name : new String[] {"\"a\\r\\nX: 1\"", "\"\"", "7.5e", "\"\\u00fc\"", "\"a b\"", nested(80)}) {
                Harness test = new Harness();
                test.list();
                test.answer(
                        null,
                        200,
                        "{\"entries\":[" + object("\"a\"", "{" + SOUND + "}") + "," + object(name, "{" + SOUND + "}")
                                + "],\"has_more\":false,\"current_rev\":7}");
                assertEquals(decodable(test.pages.get(0)), List.of("a"), name);
            }
        }

        @Test
        public void areNotReadFromAnswersThatAreNotJson() {
            for (String body :
                    new String[] {"", "{", "[]", "{\"entries\":[{]}", "{\"entries\":3}", "{\"entries\":[1,2", "}{"}) {
                Harness test = new Harness();
                test.list();
                test.answer(null, 200, body);
                assertTrue(test.pages.get(0).isLeft(), body);
            }
        }
    }

    /** Names of other writers may contain any character. */
    @Test
    public void namesAreEncodedInTheQueryForTheNextPage() {
        Harness test = new Harness();
        test.api.list("servers", "a b&c", test.pages::add);
        assertTrue(test.paths.get(0).endsWith("?after_rev=a+b%26c"), test.paths.get(0));
    }
}
