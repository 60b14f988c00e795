package org.radishspan.deployment;

/**
 * The entry with which operators evacuate a failure domain. Its name is the failure domain; that it exists is all it says.
 *
 * @param empty whether the content is empty, as expected
 */
public record EvacuationEntry(boolean empty) {}
