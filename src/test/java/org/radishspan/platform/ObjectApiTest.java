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
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests how answers of the platform's object API are read. */
public class ObjectApiTest {
    private static final class Harness {
        private final Deque<HttpTransport.Listener> calls = new ArrayDeque<>();
        private final StoreEra storeEra = new StoreEra();
        private final ObjectApi api = new ObjectApi(this::send, new Address("10.9.9.9", 80), storeEra);
        private final List<Either<Failure, ObjectKinds.Page>> pages = new ArrayList<>();

        private HttpTransport.Call send(HttpTransport.Request request, HttpTransport.Listener listener) {
            calls.add(listener);
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
}
