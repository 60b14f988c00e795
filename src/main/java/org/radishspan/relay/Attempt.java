package org.radishspan.relay;

import java.io.ByteArrayOutputStream;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.radishspan.http.BufferLimit;
import org.radishspan.http.HttpTransport;
import org.radishspan.routing.PendingFirstEvent;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;

/**
 * One send of a request to one target. Receives the answer of the target and reports the result to a {@link ResultHandler}.
 *
 * <p>Streams are relayed event by event. Other answers are buffered until they are complete, so that after a broken answer
 * the request can still be sent again, or be answered with a failure.
 */
final class Attempt implements HttpTransport.Listener {

    /** Why an attempt failed. The names are written to the log in lower case. */
    enum FailureReason {
        /** No byte of the request left this VM. */
        NOT_SENT,
        /** The target answered that it did not run the request. */
        REFUSED,
        /** A target other than the intended one received the request at this address, and did not run it. */
        OTHER_TARGET,
        /** The answer was incomplete or invalid. The request may have run. */
        BROKEN,
        /** The answer made no progress for too long. The request may have run. */
        SILENT,
        /** The target answered with a server error. */
        TARGET_FAILED
    }

    /** Receives what happens during an attempt, and decides how its request continues. */
    interface ResultHandler {
        /** Called when the head of a successful, signed stream has arrived. */
        void onStreamHead(Attempt attempt, TargetProtocol.AnswerHead head);

        /** Called when a complete event of a stream has arrived; returns whether it counts as progress of the stream. */
        boolean onEvent(Attempt attempt, EventStreamParser.Event event);

        /** Called when a stream has ended after a complete event. */
        void onStreamEnd(Attempt attempt);

        /** Called when an answer that is not a successful stream is complete. */
        void onAnswer(Attempt attempt, TargetProtocol.AnswerHead head, byte[] body);

        /** Called when the attempt has failed; {@code detail} describes the failure in the log and to callers. */
        void onFailed(Attempt attempt, FailureReason failureReason, String detail);

        /** Called first for the head of every answer, which may carry the load and the signals of the target. */
        void onHead(Attempt attempt, TargetProtocol.AnswerHead head);
    }

    /** The maximum size of a buffered answer; the longest bodies of the users have 4 MB. */
    private static final int MAX_BUFFERED_ANSWER_BYTES = 8_388_608;

    /**
     * The maximum bytes of a stream without a further event that has an id; far above the size of the longest event that
     * targets send. Events without ids do not lift the limit, because a target in trouble can send any number of them.
     */
    private static final int MAX_BYTES_WITHOUT_ID = 1_048_576;

    /**
     * A buffered answer makes progress each time this many bytes have arrived. The answers of the users' services have a few
     * hundred bytes.
     */
    private static final int MIN_PROGRESS_BYTES = 256;

    final RelayRequest request;
    final Target target;

    /** The software version of the target when the request was sent. */
    final String softwareVersion;

    final long sentAtMillis;
    private final TargetProtocol protocol;
    private final ResultHandler resultHandler;
    private final BufferLimit answerBufferLimit;
    private final LongSupplier clockMillis;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final EventStreamParser eventParser = new EventStreamParser();
    private TargetProtocol.@Nullable AnswerHead head;
    private HttpTransport.@Nullable Call call;
    private boolean ended;
    private int bytesSinceProgress;

    /** When the answer made progress last. */
    long progressAtMillis;

    /** The events received during this attempt. */
    long receivedEvents;

    /** The prompt tokens of this request that are counted as not yet read by the target. */
    long pendingPromptTokens;

    /** All prompt tokens that the target had to read before this answer could start. */
    final long unreadTokens;

    /** The estimated time until the first event, or until the answer if it is not a stream. */
    final double estimateMillis;

    /** The tokens that the request occupies at most in the memory of the target. */
    final long memoryTokens;

    final PendingFirstEvent pendingFirstEvent;

    Attempt(
            RelayRequest request,
            Placement.Choice choice,
            PendingFirstEvent pendingFirstEvent,
            TargetProtocol protocol,
            ResultHandler resultHandler,
            BufferLimit answerBufferLimit,
            LongSupplier clockMillis) {
        this.request = request;
        this.target = choice.target();
        this.softwareVersion = choice.target().softwareVersion();
        this.unreadTokens = choice.unreadTokens();
        this.estimateMillis = choice.estimateMillis();
        this.memoryTokens =
                request.callerRequest.prompt().map(Prompt::worstCaseTokens).orElse(0L);
        this.pendingFirstEvent = pendingFirstEvent;
        this.protocol = protocol;
        this.resultHandler = resultHandler;
        this.answerBufferLimit = answerBufferLimit;
        this.clockMillis = clockMillis;
        this.sentAtMillis = clockMillis.getAsLong();
        this.progressAtMillis = sentAtMillis;
    }

    void start(HttpTransport transport, HttpTransport.Request httpRequest) {
        call = transport.send(httpRequest, this);
        if (ended && call != null) {
            call.cancel();
        }
    }

    /** Ends the attempt and closes its connection. The result handler is not called any more. */
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

    /** Returns whether no byte of the request has left this VM because the connection is still being established. */
    boolean unsent() {
        return call != null && !ended && !call.sent();
    }

    boolean ended() {
        return ended;
    }

    /** Returns whether the target has begun to write the answer: the first event of a stream, or the head of another answer. */
    boolean answerBegan() {
        TargetProtocol.AnswerHead answerHead = head;
        return receivedEvents > 0
                || (answerHead != null && answerHead.success() && answerHead.signed() && !answerHead.stream());
    }

    /**
     * Returns whether enough time is left until the caller's deadline, which may pass while the connection is being
     * established. If not, nothing is sent, and the relay ends the attempt at the deadline.
     */
    @Override
    public boolean wanted() {
        return request.remainingMillis(clockMillis.getAsLong()) >= RelaySystem.MIN_REMAINING_MILLIS;
    }

    @Override
    public void onHead(int status, HttpTransport.Headers headers) {
        if (ended) {
            return;
        }
        progressAtMillis = clockMillis.getAsLong();
        TargetProtocol.AnswerHead answerHead = protocol.answerHead(status, headers);
        head = answerHead;
        resultHandler.onHead(this, answerHead);
        if (answerHead.otherTarget()) {
            fail(FailureReason.OTHER_TARGET, "another target answered at the address");
            return;
        }
        if (answerHead.notRun()) {
            fail(FailureReason.REFUSED, "the target refused the request with status " + status);
            return;
        }
        if (answerHead.success() && !answerHead.signed()) {
            fail(FailureReason.BROKEN, "the successful answer has no signature of the target");
            return;
        }
        if (answerHead.success() && answerHead.contentCoded() && !request.callerRequest.acceptsContentCodings()) {
            fail(
                    FailureReason.BROKEN,
                    "the body of the successful answer has a coding that the caller did not ask for");
            return;
        }
        if (answerHead.stream() && answerHead.success()) {
            resultHandler.onStreamHead(this, answerHead);
        }
    }

    @Override
    public void onBody(byte[] bytes) {
        TargetProtocol.AnswerHead answerHead = head;
        if (ended || answerHead == null) {
            return;
        }
        if (!answerHead.stream() || !answerHead.success()) {
            recordProgress(bytes.length);
            buffer(bytes);
            return;
        }
        bytesSinceProgress += bytes.length;
        for (EventStreamParser.Event event : eventParser.onBytes(bytes)) {
            if (ended) {
                return;
            }
            receivedEvents++;
            if (!resultHandler.onEvent(this, event)) {
                continue;
            }
            progressAtMillis = clockMillis.getAsLong();
            if (event.id() != EventStreamParser.NO_ID) {
                bytesSinceProgress = 0;
            }
        }
        if (eventParser.tooLong()) {
            fail(FailureReason.BROKEN, "an event of the stream exceeds the maximum length");
            return;
        }
        if (bytesSinceProgress > MAX_BYTES_WITHOUT_ID) {
            fail(
                    FailureReason.BROKEN,
                    bytesSinceProgress + " bytes of the stream contained no further event with an id");
        }
    }

    private void buffer(byte[] bytes) {
        if (body.size() + bytes.length > MAX_BUFFERED_ANSWER_BYTES) {
            fail(FailureReason.BROKEN, "the answer is longer than " + MAX_BUFFERED_ANSWER_BYTES + " bytes");
            return;
        }
        if (!answerBufferLimit.tryAdd(body.size(), bytes.length)) {
            fail(FailureReason.BROKEN, "the answers in progress use all memory allowed for buffered answers");
            return;
        }
        body.writeBytes(bytes);
    }

    /** Marks the attempt as ended, so that further input is ignored, and releases its part of the buffer limit. */
    private void end() {
        if (!ended) {
            ended = true;
            answerBufferLimit.remove(body.size());
        }
    }

    private void recordProgress(int bytes) {
        bytesSinceProgress += bytes;
        if (bytesSinceProgress >= MIN_PROGRESS_BYTES) {
            bytesSinceProgress = 0;
            progressAtMillis = clockMillis.getAsLong();
        }
    }

    @Override
    public void onEnd() {
        TargetProtocol.AnswerHead answerHead = head;
        if (ended) {
            return;
        }
        if (answerHead == null) {
            fail(FailureReason.BROKEN, "the answer ended before its head");
            return;
        }
        if (answerHead.stream() && answerHead.success()) {
            endStream();
            return;
        }
        end();
        resultHandler.onAnswer(this, answerHead, body.toByteArray());
    }

    private void endStream() {
        if (!eventParser.betweenEvents() || receivedEvents == 0) {
            fail(FailureReason.BROKEN, "the stream ended within an event or without any event");
            return;
        }
        end();
        resultHandler.onStreamEnd(this);
    }

    @Override
    public void onFailure(String message, boolean sent) {
        if (ended) {
            return;
        }
        fail(sent ? FailureReason.BROKEN : FailureReason.NOT_SENT, message);
    }

    /** Ends the attempt and reports its failure; does nothing if it has already ended. */
    void fail(FailureReason failureReason, String detail) {
        if (ended) {
            return;
        }
        cancel();
        resultHandler.onFailed(this, failureReason, detail);
    }
}
