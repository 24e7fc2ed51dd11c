package org.masticpaddle.routes.check;

import org.masticpaddle.routes.Route;

/**
 * Host and path prefix, by which requests find their route. Immutable and thread-safe.
 *
 * @param host host in lower case
 * @param pathPrefix prefix of the path
 */
record Address(String host, String pathPrefix) {
    static Address of(Route route) {
        return new Address(route.host(), route.pathPrefix());
    }

    @Override
    public String toString() {
        return host + pathPrefix;
    }
}
