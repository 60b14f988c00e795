package org.radishspan.http;

import java.util.function.Consumer;

/**
 * A transport that runs an action after the head, the end and the failure of each response. Routers use it to handle the
 * resulting changes at once instead of at their next periodic tick.
 */
public final class NotifyingTransport implements HttpTransport {
    private final HttpTransport transport;
    private final Runnable action;

    /** Wraps a transport. The action runs after the listener has been called. */
    public NotifyingTransport(HttpTransport transport, Runnable action) {
        this.transport = transport;
        this.action = action;
    }

    @Override
    public Call send(Request request, Listener listener) {
        return transport.send(request, new NotifyingListener(listener));
    }

    @Override
    public void test(String host, int port, Consumer<ConnectionTest> reply) {
        transport.test(host, port, result -> {
            reply.accept(result);
            action.run();
        });
    }

    private final class NotifyingListener implements Listener {
        private final Listener listener;

        NotifyingListener(Listener listener) {
            this.listener = listener;
        }

        @Override
        public boolean wanted() {
            return listener.wanted();
        }

        @Override
        public void onHead(int status, Headers headers) {
            listener.onHead(status, headers);
            action.run();
        }

        @Override
        public void onBody(byte[] bytes) {
            listener.onBody(bytes);
        }

        @Override
        public void onEnd() {
            listener.onEnd();
            action.run();
        }

        @Override
        public void onFailure(String message, boolean sent) {
            listener.onFailure(message, sent);
            action.run();
        }
    }
}
