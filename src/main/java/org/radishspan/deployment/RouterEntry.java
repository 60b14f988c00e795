package org.radishspan.deployment;

/**
 * The entry with which a router registers in the store, so that the other routers can connect to it.
 *
 * @param vm the name of the VM that the router runs on
 * @param incarnation the id of the router's process; a restarted router has a new one
 * @param peerAddress the address on which it listens for other routers
 * @param failureDomain the failure domain that the VM is in
 */
public record RouterEntry(String vm, String incarnation, Address peerAddress, String failureDomain) {}
