package org.radishspan.deployment;

/**
 * What a target says of itself.
 *
 * @param id the target; may be used again by a later incarnation
 * @param service the service that it provides
 * @param address where it listens
 * @param failureDomain where it runs
 * @param slots how many requests it works on at once
 * @param draining whether it is about to stop and takes no new work
 * @param startedAtUnixMillis when this incarnation started; tells incarnations of one id apart
 */
public record TargetEntry(
        String id,
        String service,
        Address address,
        String failureDomain,
        int slots,
        boolean draining,
        long startedAtUnixMillis) {}
