/** The routing table of a gateway: routes, services, owners of keys and limits of one configuration version. */
package org.masticpaddle.routes;
