package org.radishspan.relay;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;
import org.radishspan.routing.Target;

/**
 * Records at which software version of its targets each stream began.
 *
 * <p>What two software versions write does not fit together, and targets do not check this. A stream may therefore go on only
 * at targets of the version that began it.
 */
public interface StreamVersions {

    /** Returns whether a stream that may be resumed may begin at a target. */
    boolean mayBegin(Target target, long nowMillis);

    /** Records that the first event of a stream that may be resumed has been relayed. */
    void onBegun(String service, String streamId, String softwareVersion);

    /** Records that a stream has been relayed to its end, so that no caller takes it up. */
    void onComplete(String streamId);

    /**
     * Finds the software version at which a stream began. Answers once, during this call or later: with the version, or with
     * the failure of the request if the version is not known.
     *
     * @param streamId the id of the request that brought the first event of the stream
     */
    void find(String service, String streamId, Consumer<Either<Failure, String>> reply);
}
