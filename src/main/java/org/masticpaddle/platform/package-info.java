/** Interfaces of the platform's services and of upstreams, with one HTTP binding each. */
package org.masticpaddle.platform;
