package org.radishspan.relay;

import java.io.ByteArrayOutputStream;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.radishspan.http.HttpTransport;
import org.radishspan.routing.Awaited;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;

/**
 * One send of a request to one target: takes the answer in and says what it came to.
 *
 * <p>Streams are relayed event by event; other answers are collected whole, so that a broken one can still be repeated or
 * replaced by a failure.
 */
final class Attempt implements HttpTransport.Listener {

    /** Why an attempt brought no answer. */
    enum Trouble {
        /** No byte of the request left this VM. */
        NOT_SENT,
        /** The target says that it did not run the request. */
        REFUSED,
        /** Another target has the address, and did not run the request. */
        OTHER_TARGET,
        /** The answer broke off or came damaged; the request may have run. */
        BROKEN,
        /** Nothing came for long; the request may have run. */
        SILENT,
        /** The target answered with a failure of its own. */
        TARGET_FAILED
    }

    /** Decides what happens next. */
    interface Outcomes {
        /** The head of a stream has come. */
        void onStreamHead(Attempt attempt, TargetProtocol.AnswerHead head);

        /** A whole event of a stream has come; returns whether it brings the stream forward. */
        boolean onEvent(Attempt attempt, EventStream.Event event);

        /** A stream has ended regularly. */
        void onStreamEnd(Attempt attempt);

        /** A whole answer other than a stream has come. */
        void onAnswer(Attempt attempt, TargetProtocol.AnswerHead head, byte[] body);

        /** There is no answer. */
        void onTrouble(Attempt attempt, Trouble trouble, String reason);

        /** Any answer's head has come, with whatever it tells of the target. */
        void onHead(Attempt attempt, TargetProtocol.AnswerHead head);
    }

    /** The longest answer that is collected: the users' longest bodies have 4 MB. */
    private static final int MAX_COLLECTED_BYTES = 8_388_608;

    /** Bytes of a stream without another event: far above the longest event that targets send. */
    private static final int MAX_BYTES_BETWEEN_EVENTS = 1_048_576;

    /** Fewer bytes are no progress of an answer; those of the users' services have some hundred. */
    private static final int PROGRESS_BYTES = 256;

    final RelayRequest row;
    final Target target;
    final long sentAtMillis;
    private final TargetProtocol protocol;
    private final Outcomes outcomes;
    private final CollectedBytes collectedBytes;
    private final LongSupplier clockMillis;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final EventStream events = new EventStream();
    private TargetProtocol.@Nullable AnswerHead head;
    private HttpTransport.@Nullable Call call;
    private boolean ended;
    private int bytesSinceProgress;
    long progressAtMillis;
    long eventsHere;
    long pendingPromptTokens;
    final long unreadTokens;
    final Awaited awaited;

    Attempt(
            RelayRequest row,
            Placement.Choice choice,
            Awaited awaited,
            TargetProtocol protocol,
            Outcomes outcomes,
            CollectedBytes collectedBytes,
            LongSupplier clockMillis) {
        this.row = row;
        this.target = choice.target();
        this.unreadTokens = choice.unreadTokens();
        this.awaited = awaited;
        this.protocol = protocol;
        this.outcomes = outcomes;
        this.collectedBytes = collectedBytes;
        this.clockMillis = clockMillis;
        this.sentAtMillis = clockMillis.getAsLong();
        this.progressAtMillis = sentAtMillis;
    }

    void start(HttpTransport transport, HttpTransport.Request request) {
        call = transport.send(request, this);
        if (ended && call != null) {
            call.cancel();
        }
    }

    /** Closes the connection; nothing more is heard of this attempt. */
    void cancel() {
        end();
        if (call != null) {
            call.cancel();
        }
    }

    void setPaused(boolean paused) {
        if (call != null && !ended) {
            call.setPaused(paused);
        }
    }

    /** Returns whether no byte of the request has left this VM, as the connection is still being made. */
    boolean unsent() {
        return call != null && !ended && !call.sent();
    }

    boolean ended() {
        return ended;
    }

    /** Making a connection may outlast the caller's deadline; the relay ends the attempt then. */
    @Override
    public boolean wanted() {
        return row.remainingMillis(clockMillis.getAsLong()) >= RelaySystem.MIN_REMAINING_MILLIS;
    }

    @Override
    public void onHead(int status, HttpTransport.Headers headers) {
        if (ended) {
            return;
        }
        progressAtMillis = clockMillis.getAsLong();
        TargetProtocol.AnswerHead answer = protocol.answerHead(status, headers);
        head = answer;
        outcomes.onHead(this, answer);
        if (answer.otherTarget()) {
            trouble(Trouble.OTHER_TARGET, "another target has the address");
            return;
        }
        if (answer.notRun()) {
            trouble(Trouble.REFUSED, "the target refused the request with status " + status);
            return;
        }
        if (answer.success() && !answer.signed()) {
            trouble(Trouble.BROKEN, "the answer carries no signature of the target");
            return;
        }
        if (answer.stream() && answer.success()) {
            outcomes.onStreamHead(this, answer);
        }
    }

    @Override
    public void onBody(byte[] bytes) {
        TargetProtocol.AnswerHead answer = head;
        if (ended || answer == null) {
            return;
        }
        if (!answer.stream() || !answer.success()) {
            noteProgress(bytes.length);
            collect(bytes);
            return;
        }
        bytesSinceProgress += bytes.length;
        for (EventStream.Event event : events.onBytes(bytes)) {
            if (ended) {
                return;
            }
            eventsHere++;
            if (outcomes.onEvent(this, event)) {
                bytesSinceProgress = 0;
                progressAtMillis = clockMillis.getAsLong();
            }
        }
        if (events.tooLong()) {
            trouble(Trouble.BROKEN, "an event of the stream does not end");
            return;
        }
        if (bytesSinceProgress > MAX_BYTES_BETWEEN_EVENTS) {
            trouble(Trouble.BROKEN, bytesSinceProgress + " bytes of the stream brought no further event");
        }
    }

    private void collect(byte[] bytes) {
        if (body.size() + bytes.length > MAX_COLLECTED_BYTES) {
            trouble(Trouble.BROKEN, "the answer is longer than " + MAX_COLLECTED_BYTES + " bytes");
            return;
        }
        if (!collectedBytes.tryAdd(body.size(), bytes.length)) {
            trouble(Trouble.BROKEN, "the answers in progress take the memory that there is for them");
            return;
        }
        body.writeBytes(bytes);
    }

    /** Nothing more is taken in; what was collected is no longer held. */
    private void end() {
        if (!ended) {
            ended = true;
            collectedBytes.remove(body.size());
        }
    }

    private void noteProgress(int bytes) {
        bytesSinceProgress += bytes;
        if (bytesSinceProgress >= PROGRESS_BYTES) {
            bytesSinceProgress = 0;
            progressAtMillis = clockMillis.getAsLong();
        }
    }

    @Override
    public void onEnd() {
        TargetProtocol.AnswerHead answer = head;
        if (ended) {
            return;
        }
        if (answer == null) {
            trouble(Trouble.BROKEN, "the answer has no head");
            return;
        }
        if (answer.stream() && answer.success()) {
            endStream();
            return;
        }
        end();
        outcomes.onAnswer(this, answer, body.toByteArray());
    }

    private void endStream() {
        if (!events.betweenEvents() || eventsHere == 0) {
            trouble(Trouble.BROKEN, "the stream ended within an event or without any");
            return;
        }
        end();
        outcomes.onStreamEnd(this);
    }

    @Override
    public void onFailure(String message, boolean sent) {
        if (ended) {
            return;
        }
        trouble(sent ? Trouble.BROKEN : Trouble.NOT_SENT, message);
    }

    /** Ends the attempt without an answer. */
    void trouble(Trouble trouble, String reason) {
        if (ended) {
            return;
        }
        cancel();
        outcomes.onTrouble(this, trouble, reason);
    }
}
