/** The gateway role: accepts callers' requests, chooses an upstream for each and relays its response. */
package org.masticpaddle.gateway;
