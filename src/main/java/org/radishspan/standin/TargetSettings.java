package org.radishspan.standin;

import java.util.Set;

/**
 * The settings of a stand-in engine or a stand-in service.
 *
 * @param name the name of the VM in the platform's list
 * @param host the address to bind, which is also the address in the platform's list
 * @param port the port to bind; 0 selects a free one
 * @param failureDomain the failure domain of the VM
 * @param serves the names of the models or services that the target serves
 * @param tokenMillis the time that an engine takes per token, or a service per call, in milliseconds
 * @param platformHost the address of the stand-in platform
 * @param platformPort the port of the stand-in platform
 */
public record TargetSettings(
        String name,
        String host,
        int port,
        String failureDomain,
        Set<String> serves,
        long tokenMillis,
        String platformHost,
        int platformPort) {}
