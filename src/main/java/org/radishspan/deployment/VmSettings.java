package org.radishspan.deployment;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The settings that the platform gives to a process.
 *
 * @param vm the name of the VM
 * @param ip the IP address of the VM
 * @param failureDomain the failure domain that the VM is in
 * @param failureDomains all failure domains of the deployment
 * @param regionsByFailureDomain the region that each failure domain is in
 * @param callerAddress the address on which the process accepts callers
 * @param readinessAddress the address on which the process answers readiness checks of the platform
 * @param peerPorts ports that are available on every VM for connections between routers
 * @param bounds the bounds that the users promise their callers
 * @param store the platform's object API
 * @param resources the resources that the VM provides to a process
 * @param features the optional features that the deployment uses
 * @param replacements one text for each value of the settings file that could not be used, with the value used instead
 */
public record VmSettings(
        String vm,
        String ip,
        String failureDomain,
        Set<String> failureDomains,
        Map<String, String> regionsByFailureDomain,
        Address callerAddress,
        Address readinessAddress,
        List<Integer> peerPorts,
        Bounds bounds,
        Store store,
        Resources resources,
        Features features,
        List<String> replacements) {

    /**
     * The bounds that the users promise their callers, and the intervals on which they rest.
     *
     * @param stopGraceMillis the time from SIGTERM until the process is killed
     * @param drainMillis the maximum time after which a leaving target receives no new requests
     * @param configApplyMillis the maximum time until an accepted configuration is in force
     * @param undisturbedMillis how long a VM must have been undisturbed before the bounds with time limits apply to it
     * @param retryRatio the maximum number of repeated sends to a service in the retry window, as a fraction of its requests
     * @param retryWindowMillis the length of the window in which repeated sends are counted
     * @param retrySlack how many repeated sends all routers together may make beyond the ratio
     * @param evacuationMillis the maximum time after which an evacuated failure domain receives no new requests
     * @param targetCheckInMillis the interval at which targets write their entries in the store
     */
    public record Bounds(
            long stopGraceMillis,
            long drainMillis,
            long configApplyMillis,
            long undisturbedMillis,
            double retryRatio,
            long retryWindowMillis,
            double retrySlack,
            long evacuationMillis,
            long targetCheckInMillis) {}

    /**
     * The platform's object API and its limits.
     *
     * @param address the address of the API
     * @param fleetWritesPerSecond the maximum rate of write calls from all routers together
     * @param fleetReadsPerSecond the maximum rate of read calls from all routers together
     * @param maxValueBytes the maximum size of an object in bytes
     */
    public record Store(Address address, int fleetWritesPerSecond, int fleetReadsPerSecond, int maxValueBytes) {}

    /**
     * The resources that the VM provides to a process.
     *
     * @param memoryMegabytes the memory limit of a process in megabytes
     * @param maxDescriptors the maximum number of file descriptors of a process
     */
    public record Resources(int memoryMegabytes, int maxDescriptors) {}

    /**
     * The optional features that a deployment uses.
     *
     * @param places whether failure domains can be evacuated, targets can be cold, and requests can be bound to regions
     * @param admissionControl whether requests wait in the router for room at targets, and the memory of targets is limited
     */
    public record Features(boolean places, boolean admissionControl) {
        /** No optional feature. */
        public static final Features NONE = new Features(false, false);
    }
}
