package org.radishspan.relay;

import java.util.Collection;
import java.util.Optional;

import org.radishspan.deployment.Route;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.Failure;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetFilter;

/** Decides which targets a request may be sent to, apart from their availability. */
@FunctionalInterface
public interface TargetRules {
    /** Allows every target of the request's service. */
    TargetRules ALL = (route, workspace, prompt) -> TargetFilter.ALL;

    /** Returns the filter for the targets of a request. */
    TargetFilter filterFor(Route route, Optional<Workspace> workspace, Optional<Prompt> prompt);

    /**
     * Returns the failure of a request for which these rules allow none of the targets of its service, and will not soon;
     * empty if they allow one, or have nothing to say about it. Called once for each request that is refused.
     *
     * @param targets the targets of the service that are not leaving
     */
    default Optional<Failure> refusal(Route route, Optional<Workspace> workspace, Collection<Target> targets) {
        return Optional.empty();
    }

    /** Returns rules that allow the targets that both rules allow. */
    default TargetRules and(TargetRules other) {
        TargetRules first = this;
        return new TargetRules() {
            @Override
            public TargetFilter filterFor(Route route, Optional<Workspace> workspace, Optional<Prompt> prompt) {
                return first.filterFor(route, workspace, prompt).and(other.filterFor(route, workspace, prompt));
            }

            @Override
            public Optional<Failure> refusal(Route route, Optional<Workspace> workspace, Collection<Target> targets) {
                return first.refusal(route, workspace, targets).or(() -> other.refusal(route, workspace, targets));
            }
        };
    }
}
