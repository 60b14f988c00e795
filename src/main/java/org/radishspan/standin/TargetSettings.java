package org.radishspan.standin;

import java.util.Set;

/**
 * The settings of a stand-in target.
 *
 * @param name the VM's name
 * @param host the address
 * @param port the port, 0 for any
 * @param failureDomain where it runs
 * @param serves the models or services that it serves
 * @param tokenMillis the time an engine takes for a token, or a service for a call
 * @param platformHost the stand-in platform
 * @param platformPort its port
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
