package org.radishspan.deployment;

import java.util.Map;
import java.util.Set;

/**
 * The software versions of the targets of a service, as routers keep them in the store for routers that start later.
 *
 * @param inService the versions that were in service when the report was written
 * @param inServiceUntilUnixMillis until when other versions were in service, in milliseconds of Unix time
 */
public record VersionReport(Set<String> inService, Map<String, Long> inServiceUntilUnixMillis) {}
