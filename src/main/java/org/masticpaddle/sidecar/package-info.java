/** The sidecar role: a proxy and the only path to its upstream; limits, records and runs attempts and relays answers. */
package org.masticpaddle.sidecar;
