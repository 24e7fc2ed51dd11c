/** The role gateway: takes callers' requests and relays them to upstreams, which it calls itself. */
package org.masticpaddle.gateway;
