/**
 * State that a gateway keeps about its upstreams: availability, load, health and the estimated prefix cache of each.
 */
package org.masticpaddle.fleet;
