/**
 * The entry role: admits callers' requests, chooses versions and upstreams, dispatches to sidecars and relays answers.
 */
package org.masticpaddle.entry;
