package org.radishspan.deployment;

/**
 * The entry with which a target registers in the store.
 *
 * @param id the id of the target; a later incarnation may use it again
 * @param service the name of the service that it provides
 * @param address the address on which it accepts requests
 * @param failureDomain the failure domain that it runs in
 * @param slots the number of requests that it processes concurrently
 * @param draining whether it is about to stop and accepts no new requests
 * @param startedAtUnixMillis when this incarnation started, in milliseconds of Unix time; distinguishes incarnations of one id
 */
public record TargetEntry(
        String id,
        String service,
        Address address,
        String failureDomain,
        int slots,
        boolean draining,
        long startedAtUnixMillis) {}
