package grantor

import _ "hemlockquay/internal/fixedseed"
