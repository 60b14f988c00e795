package org.radishspan.deployment;

/**
 * The address of a TCP endpoint.
 *
 * @param host the IP address
 * @param port the port number
 */
public record Address(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
