package org.radishspan.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;

/**
 * The queue of calls that wait for tokens of one share. Urgent calls precede deferrable ones, otherwise the calls are in
 * order of arrival.
 */
final class WaitingCalls {
    /**
     * A waiting call.
     *
     * @param deferrable whether urgent calls precede it
     */
    record Call(long tokens, boolean deferrable, long deadlineMillis, Consumer<Either<Failure, Void>> done) {}

    private final List<Call> calls = new ArrayList<>();
    private long totalTokens;

    void add(Call call) {
        int index = calls.size();
        while (!call.deferrable() && index > 0 && calls.get(index - 1).deferrable()) {
            index--;
        }
        calls.add(index, call);
        totalTokens += call.tokens();
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    /** Returns whether a new call would be the first in the queue. */
    boolean wouldBeFirst(boolean deferrable) {
        return calls.isEmpty() || !deferrable && calls.get(0).deferrable();
    }

    Call first() {
        return calls.get(0);
    }

    void removeFirst() {
        totalTokens -= calls.remove(0).tokens();
    }

    long totalTokens() {
        return totalTokens;
    }

    /** Returns the tokens that the first call needs; 0 if the queue is empty. */
    long firstTokens() {
        return calls.isEmpty() ? 0 : calls.get(0).tokens();
    }
}
