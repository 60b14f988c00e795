package org.radishspan.deployment;

/**
 * What a router says of itself to the others.
 *
 * @param vm the VM
 * @param incarnation the process
 * @param peerAddress where it listens for other routers
 * @param failureDomain where it runs
 */
public record RouterEntry(String vm, String incarnation, Address peerAddress, String failureDomain) {}
