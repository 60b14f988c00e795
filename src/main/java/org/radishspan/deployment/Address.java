package org.radishspan.deployment;

/**
 * An IP address and a port.
 *
 * @param host the IP address
 * @param port the port
 */
public record Address(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
