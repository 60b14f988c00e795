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
 * @param coldMillis for how long the target is still slow after its start; 0 if it is not cold
 * @param softwareVersion the version of its software, not of the weights of its models; empty text if it names none
 */
public record TargetEntry(
        String id,
        String service,
        Address address,
        String failureDomain,
        int slots,
        boolean draining,
        long startedAtUnixMillis,
        long coldMillis,
        String softwareVersion) {

    /** Creates the entry of a target that is not cold and names no software version. */
    public TargetEntry(
            String id,
            String service,
            Address address,
            String failureDomain,
            int slots,
            boolean draining,
            long startedAtUnixMillis) {
        this(id, service, address, failureDomain, slots, draining, startedAtUnixMillis, 0, "");
    }

    /** Returns this entry under the name of its object in the store. */
    TargetEntry withId(String name) {
        return new TargetEntry(
                name,
                service,
                address,
                failureDomain,
                slots,
                draining,
                startedAtUnixMillis,
                coldMillis,
                softwareVersion);
    }

    /** Returns this entry with the target counted as not cold. */
    public TargetEntry withoutColdTime() {
        return coldMillis == 0
                ? this
                : new TargetEntry(
                        id, service, address, failureDomain, slots, draining, startedAtUnixMillis, 0, softwareVersion);
    }
}
