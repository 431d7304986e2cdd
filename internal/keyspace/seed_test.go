package keyspace

import _ "hemlockquay/internal/fixedseed"
